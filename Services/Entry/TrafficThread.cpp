#include "Services/Entry/TrafficThread.h"

#include "Services/Entry/CallerIdentifier.h"
#include "Services/Entry/Refusals.h"
#include "Services/Entry/RelayFilter.h"
#include "Services/Entry/ServiceResolver.h"
#include "Services/Entry/TaggedWriter.h"

#include <algorithm>
#include <future>

namespace Anvilyard::Entry {

namespace {

constexpr std::size_t MaxRequestIdLength = 128;

/// Whether a caller's own request id can be used in logs and headers.
bool isValidRequestId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxRequestIdLength && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
    });
}

bool hasRules(EntryView const &view)
{
    return view.fleet().rules->generation != Generation(0);
}

RequestId requestIdFor(Http::Headers const &headers, RandomSource &random)
{
    if (auto const given = headers.find("X-Request-Id"); given && isValidRequestId(*given))
        return RequestId(std::string(*given));
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text = "req-";
    for (int word = 0; word < 2; ++word) {
        auto bits = random();
        for (int digit = 0; digit < 16; ++digit, bits >>= 4)
            text += Digits[bits & 0x0F];
    }
    return RequestId(text);
}

} // namespace

Result<std::unique_ptr<TrafficThread>> TrafficThread::create(TrafficThreadOptions options)
{
    std::unique_ptr<TrafficThread> thread(new TrafficThread(std::move(options)));
    std::promise<Result<Address>> listening;
    thread->thread_ = std::thread([raw = thread.get(), &listening] {
        listening.set_value(raw->listen());
        raw->loop_.run();
        // Sockets and calls are destroyed on the thread that used them.
        for (auto const &[call, abandon] : std::exchange(raw->context_->abandonCallbacks, {}))
            abandon();
        raw->server_.reset();
        raw->chain_.reset();
        raw->components_ = {};
        raw->client_.reset();
    });
    auto address = listening.get_future().get();
    if (!address)
        return tl::unexpected(address.error());
    thread->address_ = *address;
    return thread;
}

TrafficThread::TrafficThread(TrafficThreadOptions options)
    : options_(std::move(options))
{
}

TrafficThread::~TrafficThread()
{
    stop();
}

void TrafficThread::stop()
{
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

Result<Address> TrafficThread::listen()
{
    client_ = Http::HttpClient::create(loop_, {});
    context_ = std::make_unique<ThreadContext>(ThreadContext{
        .loop = loop_,
        .client = *client_,
        .view = options_.view,
        .tracer = options_.tracer,
        .metrics = options_.metrics,
        .hooks = options_.hooks,
        .limits = options_.limits,
        .choosers = PoolChoosers(options_.chooser),
        .retryBudget = Routing::RetryBudget({}, readLocalClock()),
        .random = seedFromSystem(),
    });
    if (options_.makeComponents)
        components_ = options_.makeComponents(*context_);
    std::vector<std::unique_ptr<Filter>> filters;
    filters.push_back(std::make_unique<CallerIdentifier>());
    filters.push_back(std::make_unique<ServiceResolver>(*context_));
    for (auto &filter : components_.filters)
        filters.push_back(std::move(filter));
    filters.push_back(std::make_unique<RelayFilter>(*context_));
    chain_ = std::make_unique<FilterChain>(std::move(filters));
    Http::HttpServerOptions server{
        .listen = options_.listen,
        .streamedBody = [this](auto const &head, auto const &writer) { return streamBody(head, writer); },
        .port = Http::HttpServerOptions::Port::Shared,
    };
    auto created =
        Http::HttpServer::create(loop_, std::move(server), [this](auto http, auto writer) { accept(std::move(http), std::move(writer)); });
    if (!created)
        return tl::unexpected(created.error());
    server_ = std::move(*created);
    return server_->address();
}

OnlineRequestPointer TrafficThread::begin(RequestId const &id, Http::Headers const &headers, std::shared_ptr<Http::ResponseWriter> writer)
{
    context_->metrics.requests.add();
    auto request = std::make_shared<OnlineRequest>();
    request->id = id;
    request->arrivedAt = readLocalClock();
    request->view = context_->view.read();
    request->span = context_->tracer.startSpan("entry-request", headers.find("traceparent"));
    request->span->tag("request", request->id.value());
    request->endCallbacks.emplace_back([&metrics = context_->metrics, raw = request.get()] {
        metrics.requestSeconds.record(std::chrono::duration<double>(readLocalClock() - raw->arrivedAt).count());
        if (raw->isRefused)
            metrics.refusals.add();
    });
    request->writer = std::move(writer);
    return request;
}

void TrafficThread::accept(Http::HttpRequest http, std::shared_ptr<Http::ResponseWriter> writer)
{
    auto request = begin(requestIdFor(http.headers, context_->random), http.headers, std::move(writer));
    request->http = std::move(http);
    context_->choosers.update(request->view);
    if (!hasRules(*request->view))
        return request->refuse(Refusals::rulesNotInForce(Refusals::jitteredDelay(1s, context_->random)));
    if (isJobsPath(request->http.path()))
        handleJobs(request);
    else
        chain_->handle(std::move(request));
}

void TrafficThread::handleJobs(OnlineRequestPointer const &request)
{
    auto customer = identifyCaller(*request->view, request->http.headers);
    if (!customer)
        return request->refuse(Refusals::unknownCaller());
    if (!components_.jobs.handle)
        return request->refuse(Refusals::jobsUnavailable(Refusals::jitteredDelay(1s, context_->random)));
    auto const writer = std::make_shared<TaggedWriter>(request->writer, request->id);
    writer->keepAlive(request);
    components_.jobs.handle(std::move(*customer), std::move(request->http), writer);
}

bool TrafficThread::isJobsPath(std::string_view path) const
{
    if (components_.jobs.handles)
        return components_.jobs.handles(path);
    return path.starts_with("/v1/files") || path.starts_with("/v1/batches");
}

std::optional<Http::BodySink> TrafficThread::streamBody(Http::HttpRequest const &head, std::shared_ptr<Http::ResponseWriter> const &writer)
{
    if (!components_.jobs.streamBody || !isJobsPath(head.path()))
        return std::nullopt;
    auto const id = requestIdFor(head.headers, context_->random);
    auto const tagged = std::make_shared<TaggedWriter>(writer, id);
    auto const view = context_->view.read();
    if (!hasRules(*view)) {
        tagged->respond(Http::toResponse(Refusals::rulesNotInForce(Refusals::jitteredDelay(1s, context_->random))));
        return std::nullopt;
    }
    auto customer = identifyCaller(*view, head.headers);
    if (!customer) {
        tagged->respond(Http::toResponse(Refusals::unknownCaller()));
        return std::nullopt;
    }
    auto sink = components_.jobs.streamBody(std::move(*customer), head, tagged);
    // Without a sink, accept() receives the request with its complete body.
    if (sink)
        tagged->keepAlive(begin(id, head.headers, writer));
    return sink;
}

Address TrafficThread::address() const
{
    return address_;
}

void TrafficThread::post(std::function<void(ThreadContext &)> task)
{
    loop_.post([this, task = std::move(task)] { task(*context_); });
}

void TrafficThread::keepAlive(std::shared_ptr<void> object)
{
    components_.keptAlive.push_back(std::move(object));
}

void TrafficThread::announceLeaving()
{
    loop_.post([this] { server_->announceLeaving(); });
}

void TrafficThread::stopAccepting()
{
    loop_.post([this] {
        server_->stopAccepting();
        server_->closeIdle();
    });
}

std::size_t TrafficThread::openExchanges()
{
    auto const count = std::make_shared<std::promise<std::size_t>>();
    auto future = count->get_future();
    loop_.post([this, count] { count->set_value(server_->openExchanges()); });
    return future.get();
}

} // namespace Anvilyard::Entry
