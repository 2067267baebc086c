#include "Utilities/FakeEngine/SilenceableServer.h"

namespace Anvilyard::FakeEngine {

struct SilenceableServer::ListenerState {
    bool isSilent = false;
    std::vector<std::shared_ptr<Http::ResponseWriter>> openWriters;
};

/// Forwards all calls until its connection becomes silent. Then it sends nothing and leaves the exchange open.
class SilenceableServer::SilenceableWriter final : public Http::ResponseWriter
{
public:
    SilenceableWriter(std::shared_ptr<Http::ResponseWriter> inner, std::shared_ptr<ListenerState> state)
        : inner_(std::move(inner))
        , state_(std::move(state))
    {
    }

    ~SilenceableWriter() override
    {
        // Destroying the inner writer would close the connection, which the peer would detect.
        if (state_->isSilent)
            state_->openWriters.push_back(std::move(inner_));
    }

    void respond(Http::HttpResponse response) override
    {
        if (!state_->isSilent)
            inner_->respond(std::move(response));
    }

    void start(Http::ResponseHead head) override
    {
        if (!state_->isSilent)
            inner_->start(std::move(head));
    }

    void write(std::string piece, std::function<void(Http::WriteOutcome)> done) override
    {
        if (!state_->isSilent)
            inner_->write(std::move(piece), std::move(done));
    }

    void finish() override
    {
        if (!state_->isSilent)
            inner_->finish();
    }

    void abort() override
    {
        if (!state_->isSilent)
            inner_->abort();
    }

    void onCallerGone(std::function<void()> callback) override
    {
        inner_->onCallerGone(std::move(callback));
    }

    [[nodiscard]] std::size_t pendingBytes() const override
    {
        return inner_->pendingBytes();
    }

private:
    std::shared_ptr<Http::ResponseWriter> inner_;
    std::shared_ptr<ListenerState> state_;
};

SilenceableServer::~SilenceableServer() = default;

SilenceableServer::SilenceableServer(Http::EventLoop &loop, Http::RequestHandler handler)
    : loop_(loop)
    , handler_(std::move(handler))
{
}

Result<std::unique_ptr<SilenceableServer>> SilenceableServer::create(Http::EventLoop &loop, Address listen, Http::RequestHandler handler)
{
    std::unique_ptr<SilenceableServer> server(new SilenceableServer(loop, std::move(handler)));
    if (auto const opened = server->open(listen); !opened)
        return tl::unexpected(opened.error());
    return server;
}

Address SilenceableServer::address() const
{
    return listeners_.back().server->address();
}

Result<std::monostate> SilenceableServer::silence()
{
    auto const currentAddress = address();
    listeners_.back().server->stopAccepting();
    listeners_.back().state->isSilent = true;
    return open(currentAddress);
}

void SilenceableServer::announceLeaving()
{
    listeners_.back().server->announceLeaving();
}

void SilenceableServer::stopAccepting()
{
    listeners_.back().server->stopAccepting();
}

std::size_t SilenceableServer::openExchanges() const
{
    return listeners_.back().server->openExchanges();
}

Result<std::monostate> SilenceableServer::open(Address const &listen)
{
    auto state = std::make_shared<ListenerState>();
    auto server = Http::HttpServer::create(loop_,
                                           {.listen = listen, .port = Http::HttpServerOptions::Port::Shared},
                                           [this, state](Http::HttpRequest request, std::shared_ptr<Http::ResponseWriter> writer) {
                                               auto wrapped = std::make_shared<SilenceableWriter>(std::move(writer), state);
                                               if (!state->isSilent)
                                                   handler_(std::move(request), std::move(wrapped));
                                           });
    if (!server)
        return tl::unexpected(server.error());
    listeners_.push_back({.state = std::move(state), .server = std::move(*server)});
    return std::monostate{};
}

} // namespace Anvilyard::FakeEngine
