#include "Services/Batch/EngineLoadPoller.h"

namespace Anvilyard::Batch {

namespace {

constexpr Duration PollTimeout = 1s;
constexpr std::size_t MaxResponseBytes = 1024 * 1024;
constexpr int StatusOk = 200;

} // namespace

EngineLoadPoller::EngineLoadPoller(EngineLoadPollerOptions options)
    : options_(std::move(options))
    , client_(Http::HttpClient::create(options_.loop, {}))
{
}

void EngineLoadPoller::start()
{
    pollAll();
}

void EngineLoadPoller::setServers(std::vector<Fleet::BackendServer> servers)
{
    servers_ = std::move(servers);
}

void EngineLoadPoller::pollAll()
{
    for (auto const &server : servers_)
        poll(server);
    // Jitter prevents instances that started at the same time from polling in step.
    std::uniform_real_distribution<double> spread(0.8, 1.2);
    auto const wait = Duration(static_cast<Duration::rep>(static_cast<double>(options_.interval.count()) * spread(options_.random)));
    timer_ = options_.loop.at(readLocalClock() + wait, [this] { pollAll(); });
}

void EngineLoadPoller::poll(Fleet::BackendServer const &server)
{
    Http::ClientRequest request{
        .server = server.address,
        .request = {.method = "GET", .target = "/metrics"},
        .deadline = readLocalClock() + PollTimeout,
        .bodyLimitBytes = MaxResponseBytes,
    };
    auto const ownRunning = static_cast<double>(options_.runningOn(server.id));
    client_->fetch(std::move(request),
                   [this, id = server.id, ownRunning](tl::expected<Http::HttpResponse, Http::ExchangeFailure> const &response) {
                       if (!response || response->status != StatusOk)
                           return;
                       if (auto load = Yield::parseEngineLoad(response->body)) {
                           load->ownRunning = ownRunning;
                           options_.onLoad(id, *load);
                       }
                   });
}

} // namespace Anvilyard::Batch
