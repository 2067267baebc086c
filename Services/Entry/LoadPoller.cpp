#include "Services/Entry/LoadPoller.h"

#include "LibYield/EngineLoad.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace Anvilyard::Entry {

namespace {

constexpr Duration PollTimeout = 2s;
constexpr Duration SkipDuration = 30s;
constexpr std::size_t MaxResponseBytes = 1024 * 1024;
constexpr int Ok = 200;
constexpr std::uint64_t RoundsPerModelPoll = 4;

} // namespace

std::optional<std::set<std::string>> parseModels(std::string_view text)
{
    try {
        std::set<std::string> models;
        auto const value = boost::json::parse(text);
        for (auto const &entry : value.as_object().at("data").as_array()) {
            auto const &model = entry.as_object();
            auto const name = boost::json::value_to<std::string>(model.at("id"));
            models.insert(name);
            // An engine that lists no versions may serve any version. It can then name a version only as part of the model's id.
            if (auto const *versions = model.if_contains("versions")) {
                for (auto const &version : versions->as_array())
                    models.insert(name + "@" + boost::json::value_to<std::string>(version));
            }
        }
        return models.empty() ? std::nullopt : std::optional(std::move(models));
    } catch (std::exception const &) {
        return std::nullopt;
    }
}

LoadPoller::LoadPoller(ThreadContext &context, double pollsPerSecond, Handlers handlers)
    : context_(context)
    , interval_(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / pollsPerSecond)))
    , handlers_(std::move(handlers))
    , self_(std::make_shared<LoadPoller *>(this))
{
    scheduleNext();
}

LoadPoller::~LoadPoller() = default;

void LoadPoller::scheduleNext()
{
    // The jitter keeps instances that started together from polling at the same times.
    std::uniform_real_distribution<double> spread(0.8, 1.2);
    auto const wait = Duration(static_cast<Duration::rep>(static_cast<double>(interval_.count()) * spread(context_.random)));
    timer_ = context_.loop.at(readLocalClock() + wait, [this] { pollNext(); });
}

void LoadPoller::startRound()
{
    ++rounds_;
    auto const now = readLocalClock();
    std::erase_if(skipUntil_, [now](auto const &entry) { return entry.second <= now; });
    context_.choosers.update(context_.view.read());
    for (auto const &[pool, chooser] : context_.choosers.all()) {
        auto const subset = chooser.subset();
        round_.insert(round_.end(), subset.begin(), subset.end());
    }
}

std::optional<Fleet::BackendServer> LoadPoller::nextServer()
{
    if (round_.empty())
        startRound();
    if (round_.empty())
        return std::nullopt;
    auto server = std::move(round_.back());
    round_.pop_back();
    return server;
}

/// Whether the server's pool is of model engines. Only these are polled for models: at a plain service every path other than that of
/// the load report is an ordinary call that may have side effects.
bool LoadPoller::isModelEngine(Fleet::BackendServer const &server) const
{
    auto const &pools = context_.view.read()->fleet().rules->pools;
    return std::any_of(pools.begin(), pools.end(), [&](Rules::PoolRule const &rule) {
        return rule.pool == server.pool && rule.kind == Rules::PoolKind::ModelEngine;
    });
}

void LoadPoller::pollNext()
{
    if (auto const server = nextServer()) {
        if (!skipUntil_.contains(server->id))
            pollLoad(*server);
        // Models change far less often than the load.
        if (rounds_ % RoundsPerModelPoll == 1 && isModelEngine(*server))
            pollModels(*server);
    }
    scheduleNext();
}

void LoadPoller::fetch(Fleet::BackendServer const &server,
                       std::string target,
                       std::function<void(LoadPoller &, std::optional<std::string>)> done)
{
    Http::ClientRequest request{
        .server = server.address,
        .request = {.method = "GET", .target = std::move(target)},
        .deadline = readLocalClock() + PollTimeout,
        .bodyLimitBytes = MaxResponseBytes,
    };
    context_.client.fetch(std::move(request), [weak = std::weak_ptr(self_), server, done = std::move(done)](auto response) {
        auto const self = weak.lock();
        if (!self)
            return;
        if (response)
            done(**self, response->status == Ok ? std::optional(std::move(response->body)) : std::nullopt);
        else
            (*self)->onFailure(server, response.error());
    });
}

/// Reports a failed poll as evidence against the server, so that an unreachable server is detected even if no request waits for it
/// long enough. A successful poll is no evidence for the server, which may still fail its requests.
void LoadPoller::onFailure(Fleet::BackendServer const &server, Http::ExchangeFailure const &failure)
{
    if (failure.connection == Http::ConnectionUse::Reused)
        context_.client.dropIdle(server.address);
    else if (context_.hooks.onServerEvidence)
        context_.hooks.onServerEvidence(server.id, Routing::ServerEvidence::FreshConnectionFailed);
}

void LoadPoller::pollLoad(Fleet::BackendServer const &server)
{
    fetch(server, "/metrics", [server](LoadPoller &self, std::optional<std::string> const &text) {
        if (auto const load = text ? Yield::parseEngineLoad(*text) : std::nullopt)
            self.handlers_.onLoad(server.pool, server.id, {.running = load->running, .waiting = load->waiting});
        else
            self.skipUntil_[server.id] = readLocalClock() + SkipDuration;
    });
}

void LoadPoller::pollModels(Fleet::BackendServer const &server)
{
    fetch(server, "/v1/models", [server](LoadPoller &self, std::optional<std::string> const &text) {
        if (auto const models = text ? parseModels(*text) : std::nullopt)
            self.handlers_.onModels(server.pool, server.id, *models);
    });
}

} // namespace Anvilyard::Entry
