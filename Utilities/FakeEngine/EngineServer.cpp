#include "Utilities/FakeEngine/EngineServer.h"

#include "LibHttp/Refusal.h"

#include <boost/json.hpp>
#include <random>
#include <unistd.h>

namespace Anvilyard::FakeEngine {

namespace {

using Writer = std::shared_ptr<Http::ResponseWriter>;

void respondJson(Writer const &writer, int status, std::string body)
{
    writer->respond({.status = status, .headers = {{"Content-Type", "application/json"}}, .body = std::move(body)});
}

void refuse(Writer const &writer, int status, std::string code, std::string message)
{
    auto const *const type = status >= 500 ? "server_error" : "invalid_request_error";
    writer->respond(Http::toResponse({.status = status, .type = type, .code = std::move(code), .message = std::move(message)}));
}

std::string headerOrEmpty(Http::HttpRequest const &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

std::string readString(boost::json::object const &object, std::string_view key)
{
    auto const *value = object.if_contains(key);
    return value == nullptr || value->is_null() ? "" : std::string(value->as_string());
}

Result<EngineOrders::Order> parseOrder(std::string_view body)
{
    try {
        auto const parsed = boost::json::parse(body);
        auto const &object = parsed.as_object();
        EngineOrders::Order order{.model = readString(object, "model"),
                                  .version = readString(object, "version"),
                                  .adapter = readString(object, "adapter"),
                                  .role = readString(object, "role")};
        if (auto const *fencing = object.if_contains("fencing"))
            order.fencingNumber = fencing->to_number<std::uint64_t>();
        return order;
    } catch (std::exception const &exception) {
        return failure(std::errc::invalid_argument, exception.what());
    }
}

void respondToOrder(OrderOutcome outcome, Writer const &writer)
{
    switch (outcome) {
    case OrderOutcome::Done:
        return respondJson(writer, 200, R"({"status":"done"})");
    case OrderOutcome::Fenced:
        return refuse(writer, 409, "old_fencing_number", "an order with a higher fencing number was seen");
    case OrderOutcome::NotFound:
        return refuse(writer, 404, "not_found", "the order names nothing that this engine has");
    }
}

} // namespace

Result<std::unique_ptr<EngineServer>> EngineServer::create(Http::EventLoop &loop, EngineOptions options)
{
    auto recorder = RunRecorder::create(options.recordFile);
    if (!recorder)
        return tl::unexpected(recorder.error());
    std::unique_ptr<EngineServer> engine(new EngineServer(loop, std::move(options), std::move(*recorder)));
    auto server = SilenceableServer::create(loop, engine->options_.listen, [raw = engine.get()](auto request, auto writer) {
        raw->handle(std::move(request), std::move(writer));
    });
    if (!server)
        return tl::unexpected(server.error());
    engine->server_ = std::move(*server);
    return engine;
}

EngineServer::EngineServer(Http::EventLoop &loop, EngineOptions options, std::unique_ptr<RunRecorder> recorder)
    : loop_(loop)
    , options_(std::move(options))
    , recorder_(std::move(recorder))
    , orders_(options_.fencing, options_.models)
    , cacheEvents_(loop, faults_)
    , runs_(loop, options_, faults_, *recorder_, {.onCacheChange = [this](CacheChange const &change) { cacheEvents_.publish(change); }})
    , idPrefix_("cmpl-" + std::to_string(getpid()) + "-" + std::to_string(std::random_device{}()) + "-")
{
}

Address EngineServer::address() const
{
    return server_->address();
}

void EngineServer::announceLeaving()
{
    isLeaving_ = true;
    cacheEvents_.close();
    server_->announceLeaving();
}

std::size_t EngineServer::openRuns() const
{
    return server_->openExchanges();
}

void EngineServer::handle(Http::HttpRequest request, Writer writer)
{
    if (handleShared(request, writer))
        return;
    if (options_.kind == ServerKind::PlainService)
        handlePlainService(request, writer);
    else
        handleEngine(request, writer);
    loadHistory_.record(runs_.load(), readLocalClock());
}

bool EngineServer::handleShared(Http::HttpRequest const &request, Writer const &writer)
{
    auto const path = request.path();
    if (path == "/health")
        respondJson(writer, isLeaving_ ? 503 : 200, isLeaving_ ? R"({"status":"leaving"})" : R"({"status":"ok"})");
    else if (path == "/metrics")
        writer->respond({.status = 200, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = renderMetrics()});
    else if (path == "/control")
        handleControl(request, writer);
    else
        return false;
    return true;
}

void EngineServer::handleEngine(Http::HttpRequest const &request, Writer const &writer)
{
    auto const path = request.path();
    bool const isPost = request.method == "POST";
    if (isPost && path == "/v1/completions")
        complete(CompletionKind::Text, request, writer);
    else if (isPost && path == "/v1/chat/completions")
        complete(CompletionKind::Chat, request, writer);
    else if (isPost && path.starts_with("/v1/completions/"))
        handleRun(request, writer);
    else if (isPost && (path == "/v1/load" || path == "/v1/unload" || path == "/v1/role"))
        handleOrder(request, writer);
    else if (!isPost && path == "/v1/models")
        respondJson(writer, 200, renderModels());
    else if (!isPost && path == "/v1/cache-events")
        cacheEvents_.subscribe(writer);
    else
        refuse(writer, 404, "not_found", "no such path");
}

void EngineServer::handleOrder(Http::HttpRequest const &request, Writer const &writer)
{
    auto const order = parseOrder(request.body);
    if (!order)
        return refuse(writer, 400, "bad_order", order.error().toString());
    if (request.path() == "/v1/unload")
        return respondToOrder(orders_.unload(*order), writer);
    if (request.path() == "/v1/role")
        return respondToOrder(orders_.changeRole(*order), writer);
    // The fencing number is checked at the end of loading because real engines load the model before they switch to it.
    auto const number = nextId_++;
    timers_[number] = loop_.at(readLocalClock() + options_.loadTime, [this, number, order = *order, writer] {
        respondToOrder(orders_.load(order), writer);
        timers_.erase(number);
    });
}

void EngineServer::handleControl(Http::HttpRequest const &request, Writer const &writer)
{
    if (request.method == "GET")
        return respondJson(writer, 200, faults_.toJson());
    auto const changed = FaultSwitches::withChanges(faults_, request.body);
    if (!changed)
        return refuse(writer, 400, "bad_control", changed.error().toString());
    faults_ = *changed;
    runs_.setSlowness(faults_.slowness);
    respondJson(writer, 200, faults_.toJson());
    if (!boost::json::parse(request.body).as_object().contains("silence"))
        return;
    // The delay lets this response be sent first, as its connection becomes silent as well.
    static constexpr Duration SilenceDelay = 10ms;
    auto const number = nextId_++;
    timers_[number] = loop_.at(readLocalClock() + SilenceDelay, [this, number] {
        std::ignore = server_->silence();
        timers_.erase(number);
    });
}

void EngineServer::complete(CompletionKind kind, Http::HttpRequest const &request, Writer const &writer)
{
    if (refuseNewWork(writer))
        return;
    auto completion = parseCompletion(kind, request.body);
    if (!completion)
        return refuse(writer, 400, "bad_request", completion.error().toString());
    if (!orders_.serves(completion->model))
        return refuse(writer, 404, "model_not_found", "this engine does not hold " + completion->model);
    auto identity = identityOf(request);
    identity.prompt = completion->prompt;
    runs_.start({.completion = std::move(*completion), .identity = std::move(identity)}, writer);
}

void EngineServer::handleRun(Http::HttpRequest const &request, Writer const &writer)
{
    static constexpr std::string_view Prefix = "/v1/completions/";
    auto const rest = request.path().substr(Prefix.size());
    auto const slash = rest.find('/');
    auto const id = std::string(rest.substr(0, slash));
    auto const verb = slash == std::string_view::npos ? "" : rest.substr(slash + 1);
    if (verb == "cancel")
        return respondJson(writer, 200, runs_.cancel(id) ? R"({"cancelled":true})" : R"({"cancelled":false})");
    if (verb != "resume")
        return refuse(writer, 404, "not_found", "no such path");
    if (refuseNewWork(writer))
        return;
    try {
        auto const offset = boost::json::parse(request.body).as_object().at("offset").to_number<std::uint32_t>();
        if (!runs_.resume(id, offset, writer))
            refuse(writer, 404, "unknown_stream", "this engine has no such stream at that offset");
    } catch (std::exception const &exception) {
        refuse(writer, 400, "bad_request", exception.what());
    }
}

void EngineServer::handlePlainService(Http::HttpRequest const &request, Writer const &writer)
{
    if (refuseNewWork(writer))
        return;
    auto identity = identityOf(request);
    identity.prompt = request.method + " " + request.target + " " + request.body;
    boost::json::object echo{{"id", identity.id}, {"method", request.method}, {"target", request.target}, {"body", request.body}};
    CompletionRequest completion{.model = "plain", .prompt = identity.prompt, .tokens = 1};
    runs_.start({.completion = std::move(completion),
                 .identity = std::move(identity),
                 .renderBody = [body = boost::json::serialize(echo)](std::string_view) { return body; }},
                writer);
}

bool EngineServer::refuseNewWork(Writer const &writer)
{
    if (isLeaving_)
        refuse(writer, 503, "leaving", "this server is leaving");
    else if (faults_.refuse.take())
        refuse(writer, 503, "busy", "this server takes no work now");
    else
        return false;
    return true;
}

RunIdentity EngineServer::identityOf(Http::HttpRequest const &request)
{
    return {.id = idPrefix_ + std::to_string(nextId_++),
            .requestId = headerOrEmpty(request, "X-Request-Id"),
            .customId = headerOrEmpty(request, "Anvilyard-Custom-Id"),
            .idempotencyKey = headerOrEmpty(request, "Idempotency-Key")};
}

std::string EngineServer::renderModels() const
{
    boost::json::array data;
    for (auto const &[name, model] : orders_.models()) {
        data.push_back(boost::json::object{{"id", name},
                                           {"object", "model"},
                                           {"owned_by", "fake-engine"},
                                           {"versions", boost::json::value_from(model.versions)},
                                           {"adapters", boost::json::value_from(model.adapters)}});
    }
    return boost::json::serialize(boost::json::object{
        {"object", "list"}, {"data", std::move(data)}, {"role", orders_.role()}, {"fencing", orders_.highestFencingNumber()}});
}

std::string EngineServer::renderMetrics()
{
    auto const now = readLocalClock();
    loadHistory_.record(runs_.load(), now);
    auto const load = loadHistory_.at(now - faults_.loadLag);
    auto const usage = static_cast<double>(load.running) / options_.timing.slots;
    std::string text;
    auto const add = [&text](std::string const &name, std::string const &type, std::string const &value) {
        text += "# TYPE " + name + " " + type + "\n" + name + " " + value + "\n";
    };
    add("vllm:num_requests_running", "gauge", std::to_string(load.running));
    add("vllm:num_requests_waiting", "gauge", std::to_string(load.waiting));
    add("vllm:kv_cache_usage_perc", "gauge", std::to_string(usage));
    add("vllm:request_success_total", "counter", std::to_string(runs_.totals().finished));
    add("vllm:generation_tokens_total", "counter", std::to_string(runs_.totals().tokens));
    return text;
}

} // namespace Anvilyard::FakeEngine
