#include "LibPlatform/PlatformConnection.h"

#include "LibHttp/HttpError.h"

#include <optional>
#include <variant>

namespace Anvilyard::Platform {

namespace {

using ExchangeResult = tl::expected<Http::HttpResponse, Http::ExchangeFailure>;

class ClientPlatformConnection final : public PlatformConnection
{
public:
    ClientPlatformConnection(Http::EventLoop &loop, Address platform, Duration callTimeout)
        : client_(Http::HttpClient::create(loop, {}))
        , platform_(std::move(platform))
        , callTimeout_(callTimeout)
    {
    }

    void call(CallVerb verb, Http::HttpRequest request, ResponseHandler done) override
    {
        auto retryRequest = verb == CallVerb::Read ? std::optional(request) : std::nullopt;
        send(std::move(request),
             Http::ClientRequest::Connection::AnyIdle,
             [this, verb, retryRequest = std::move(retryRequest), done = std::move(done)](ExchangeResult result) mutable {
                 if (retryRequest && wasIdleConnectionLost(result))
                     return retryRead(std::move(*retryRequest), std::move(done));
                 finish(verb, std::move(result), done);
             });
    }

    [[nodiscard]] std::shared_ptr<Http::HttpClient> client() const override
    {
        return client_;
    }

private:
    /// The platform may close an idle connection at the moment it is used. A read is safe to retry in that case.
    static bool wasIdleConnectionLost(ExchangeResult const &result)
    {
        return !result && result.error().connection == Http::ConnectionUse::Reused && result.error().reached == Http::Reached::Sent
            && result.error().error.code == Http::HttpError::ClosedEarly;
    }

    void retryRead(Http::HttpRequest request, ResponseHandler done)
    {
        send(std::move(request), Http::ClientRequest::Connection::FreshOnly, [this, done = std::move(done)](ExchangeResult result) {
            finish(CallVerb::Read, std::move(result), done);
        });
    }

    void send(Http::HttpRequest request, Http::ClientRequest::Connection connection, std::function<void(ExchangeResult)> done)
    {
        if (!request.body.empty())
            request.headers.set("Content-Type", "application/json");
        Http::ClientRequest exchange{
            .server = platform_,
            .request = std::move(request),
            .deadline = readLocalClock() + callTimeout_,
            .connection = connection,
        };
        client_->fetch(std::move(exchange), [alive = std::weak_ptr(alive_), done = std::move(done)](ExchangeResult result) {
            if (alive.lock())
                done(std::move(result));
        });
    }

    void finish(CallVerb verb, ExchangeResult result, ResponseHandler const &done)
    {
        if (!result) {
            if (result.error().error.code == Http::HttpError::Silent)
                client_->dropIdle(platform_);
            return done(tl::unexpected(mapFailure(verb, result.error())));
        }
        if (auto error = mapResponse(verb, *result); error.code)
            return done(tl::unexpected(std::move(error)));
        done(std::move(*result));
    }

    std::shared_ptr<Http::HttpClient> client_;
    Address platform_;
    Duration callTimeout_;
    /// Expires with this object, so that responses that arrive later are dropped.
    std::shared_ptr<std::monostate> alive_ = std::make_shared<std::monostate>();
};

} // namespace

std::unique_ptr<PlatformConnection> PlatformConnection::create(Http::EventLoop &loop, Address platform, Duration callTimeout)
{
    return std::make_unique<ClientPlatformConnection>(loop, std::move(platform), callTimeout);
}

} // namespace Anvilyard::Platform
