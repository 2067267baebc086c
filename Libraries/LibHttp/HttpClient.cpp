#include "LibHttp/HttpClient.h"

#include "LibHttp/ClientExchange.h"
#include "LibHttp/EventLoopContext.h"
#include "LibHttp/IdleConnections.h"

#include <functional>

namespace Anvilyard::Http {

namespace {

class AsioHttpClient final : public HttpClient
{
public:
    AsioHttpClient(EventLoop &loop, HttpClientOptions options)
        : shared_(std::make_shared<ClientShared>(loop.context().io, options))
    {
    }

    ~AsioHttpClient() override
    {
        for (auto const &holder : shared_->sweep->holders())
            static_cast<ClientExchange &>(*holder).cancel();
        shared_->sweep->close();
        shared_->idle->close();
    }

    std::shared_ptr<Exchange> send(ClientRequest request, ExchangeHandlers handlers) override
    {
        auto exchange = std::make_shared<ClientExchange>(shared_, std::move(request), std::move(handlers));
        exchange->start();
        return exchange;
    }

    void dropIdle(Address const &server) override
    {
        shared_->idle->drop(server);
    }

private:
    std::shared_ptr<ClientShared> shared_;
};

} // namespace

RequestIdentity identifyRequest(std::string_view id)
{
    // Two ids of the same hash cost a connection.
    return RequestIdentity(std::hash<std::string_view>()(id));
}

std::unique_ptr<HttpClient> HttpClient::create(EventLoop &loop, HttpClientOptions options)
{
    return std::make_unique<AsioHttpClient>(loop, options);
}

std::shared_ptr<Exchange> HttpClient::fetch(ClientRequest request, std::function<void(tl::expected<HttpResponse, ExchangeFailure>)> done)
{
    auto const response = std::make_shared<HttpResponse>();
    auto const reply = std::make_shared<decltype(done)>(std::move(done));
    return send(std::move(request),
                {
                    .onHead =
                        [response](ResponseHead head) {
                            response->status = head.status;
                            response->headers = std::move(head.headers);
                        },
                    .onPiece = [response](std::string_view piece) { response->body += piece; },
                    .onEnd = [response, reply] { (*reply)(std::move(*response)); },
                    .onFailure = [reply](ExchangeFailure failure) { (*reply)(tl::unexpected(std::move(failure))); },
                });
}

} // namespace Anvilyard::Http
