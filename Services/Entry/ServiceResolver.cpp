#include "Services/Entry/ServiceResolver.h"

#include "Services/Entry/Refusals.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace Anvilyard::Entry {

namespace json = boost::json;

namespace {

constexpr std::string_view ServicesPrefix = "/services/";

bool isCompletionPath(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

bool isIdempotentMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS";
}

/// Sets the deadline from the caller's `Anvilyard-Timeout-Ms` header. Returns false if the value is invalid.
bool readDeadline(OnlineRequest &request, TimeLimits const &limits)
{
    request.deadline = request.arrivedAt + limits.request;
    auto const text = request.http.headers.find("Anvilyard-Timeout-Ms");
    if (!text)
        return true;
    std::int64_t wanted = 0;
    auto const [end, error] = std::from_chars(text->data(), text->data() + text->size(), wanted);
    if (error != std::errc() || end != text->data() + text->size() || wanted <= 0)
        return false;
    auto const milliseconds = std::chrono::milliseconds(std::min<std::int64_t>(wanted, 24LL * 3600 * 1000));
    request.deadline = std::min(request.deadline, request.arrivedAt + milliseconds);
    return true;
}

/// Reads `Anvilyard-Repeat` and the idempotency key. Returns false if the former has an invalid value.
bool readRepeatability(OnlineRequest &request, Routing::Repeatability defaultRepeatability)
{
    request.repeatability = defaultRepeatability;
    if (auto const key = request.http.headers.find("Idempotency-Key"))
        request.idempotencyKey = std::string(*key);
    auto const repeat = request.http.headers.find("Anvilyard-Repeat");
    if (!repeat)
        return true;
    // An unknown value is refused. Treating it as permission to repeat could run a call with side effects twice.
    if (!Http::equalsIgnoringCase(*repeat, "never"))
        return false;
    request.repeatability = Routing::Repeatability::Never;
    return true;
}

/// Returns the name that engines use for the model and version of a route.
std::string engineModelName(Rules::RouteRule const &route)
{
    return route.version.value().empty() ? route.model.value() : route.model.value() + "@" + route.version.value();
}

/// Returns the part of the prompt that one message forms.
std::string chatPromptPart(std::string_view role, std::string_view content)
{
    std::string part(role);
    part += ": ";
    part += content;
    return part + "\n";
}

std::string contentText(json::value const &content)
{
    if (content.is_string())
        return std::string(content.get_string());
    std::string text;
    if (auto const *parts = content.if_array()) {
        for (auto const &part : *parts) {
            auto const *object = part.if_object();
            auto const *value = object ? object->if_contains("text") : nullptr;
            if (value && value->is_string())
                text += value->get_string();
        }
    }
    return text;
}

/// Returns the text of the prompt as engines hash it for their prefix cache. It only guides the choice of the server, so unexpected
/// input is ignored rather than refused.
std::string promptText(json::object const &body)
{
    if (auto const *prompt = body.if_contains("prompt"))
        return contentText(*prompt);
    std::string text;
    auto const *messages = body.if_contains("messages");
    if (!messages || !messages->is_array())
        return text;
    for (auto const &message : messages->get_array()) {
        auto const *object = message.if_object();
        auto const *role = object ? object->if_contains("role") : nullptr;
        auto const *content = object ? object->if_contains("content") : nullptr;
        if (role && role->is_string() && content)
            text += chatPromptPart(role->get_string(), contentText(*content));
    }
    return text;
}

} // namespace

ServiceResolver::ServiceResolver(ThreadContext &context)
    : context_(context)
{
}

void ServiceResolver::handle(OnlineRequestPointer request, Next const &next)
{
    auto const path = request->http.path();
    if (!readDeadline(*request, context_.limits))
        return request->refuse(Refusals::malformedHeader("Anvilyard-Timeout-Ms"));
    if (isCompletionPath(path)) {
        if (request->http.method != "POST")
            return request->refuse(Refusals::methodNotAllowed());
        return resolveCompletion(std::move(request), next);
    }
    if (path == "/v1/models") {
        if (request->http.method != "GET")
            return request->refuse(Refusals::methodNotAllowed());
        return listModels(request);
    }
    if (path.starts_with(ServicesPrefix))
        return resolvePlainService(std::move(request), next);
    request->refuse(Refusals::notFound());
}

void ServiceResolver::resolveCompletion(OnlineRequestPointer request, Next const &next)
{
    if (!readRepeatability(*request, Routing::Repeatability::Generation))
        return request->refuse(Refusals::malformedHeader("Anvilyard-Repeat"));
    boost::system::error_code error;
    auto parsed = json::parse(request->http.body, error);
    auto *body = error ? nullptr : parsed.if_object();
    if (!body)
        return request->refuse(Refusals::malformedBody("the body must be a JSON object"));
    auto const *model = body->if_contains("model");
    if (!model || !model->is_string())
        return request->refuse(Refusals::malformedBody("'model' must be a text"));
    request->service = ServiceName(std::string(model->get_string()));
    auto const *service = request->view->findService(request->service);
    if (!service || service->kind != Rules::PoolKind::ModelEngine)
        return request->refuse(Refusals::modelNotFound(request->service.value()));
    if (auto const *stream = body->if_contains("stream")) {
        if (!stream->is_bool())
            return request->refuse(Refusals::malformedBody("'stream' must be true or false"));
        request->answerForm = stream->get_bool() ? AnswerForm::EventStream : AnswerForm::Plain;
    }
    request->kind = Rules::PoolKind::ModelEngine;
    if (!drawRoute(*request))
        return request->refuse(Refusals::noServer(Http::RunState::NotRun, Refusals::jitteredDelay(1s, context_.random)));
    request->prefix.emplace(promptText(*body));
    request->backendTarget = request->http.target;
    if (request->engineModel != request->service.value()) {
        (*body)["model"] = request->engineModel;
        request->http.body = json::serialize(*body);
    }
    next(std::move(request));
}

void ServiceResolver::resolvePlainService(OnlineRequestPointer request, Next const &next)
{
    auto const &method = request->http.method;
    if (!readRepeatability(*request, isIdempotentMethod(method) ? Routing::Repeatability::Idempotent : Routing::Repeatability::Unsafe))
        return request->refuse(Refusals::malformedHeader("Anvilyard-Repeat"));
    auto const rest = std::string_view(request->http.target).substr(ServicesPrefix.size());
    auto const end = std::min(rest.find_first_of("/?"), rest.size());
    request->service = ServiceName(std::string(rest.substr(0, end)));
    auto const *service = request->view->findService(request->service);
    if (!service || service->kind != Rules::PoolKind::PlainService)
        return request->refuse(Refusals::serviceNotFound(request->service.value()));
    request->kind = Rules::PoolKind::PlainService;
    if (!drawRoute(*request))
        return request->refuse(Refusals::noServer(Http::RunState::NotRun, Refusals::jitteredDelay(1s, context_.random)));
    auto const target = rest.substr(end);
    request->backendTarget = target.starts_with('/') ? std::string(target) : "/" + std::string(target);
    next(std::move(request));
}

/// Chooses one of the service's routes at random by weight, among the routes whose pool has an available server. Returns false if there
/// is none.
bool ServiceResolver::drawRoute(OnlineRequest &request)
{
    std::vector<Rules::RouteRule const *> routes;
    std::uint64_t total = 0;
    for (auto const &route : request.view->findService(request.service)->routes) {
        auto *chooser = context_.choosers.find(route.pool);
        if (route.weight == 0 || !chooser || chooser->room(engineModelName(route), request.arrivedAt) == Routing::Room::NoServer)
            continue;
        routes.push_back(&route);
        total += route.weight;
    }
    if (routes.empty())
        return false;
    auto draw = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(context_.random);
    for (auto const *route : routes) {
        if (draw < route->weight) {
            request.route = *route;
            request.engineModel = engineModelName(*route);
            return true;
        }
        draw -= route->weight;
    }
    return false;
}

void ServiceResolver::listModels(OnlineRequestPointer const &request)
{
    json::array data;
    for (auto const &[name, service] : request->view->services()) {
        if (service.kind == Rules::PoolKind::ModelEngine)
            data.push_back({{"id", name.value()}, {"object", "model"}, {"owned_by", "anvilyard"}});
    }
    json::value const body = {{"object", "list"}, {"data", std::move(data)}};
    request->respond({.headers = {{"Content-Type", "application/json"}}, .body = json::serialize(body)});
}

} // namespace Anvilyard::Entry
