#include "LibPlatform/HttpInstanceList.h"

#include "LibPlatform/EndpointSliceCodec.h"
#include "LibPlatform/PlatformConnection.h"

namespace Anvilyard::Platform {

namespace {

class SliceInstanceList final : public HttpInstanceList
{
public:
    explicit SliceInstanceList(HttpInstanceListOptions const &options)
        : connection_(PlatformConnection::create(options.loop, options.platform, options.callTimeout))
    {
    }

    void fetch(Reply<std::vector<EndpointSet>> reply) override
    {
        connection_->call(
            CallVerb::Read, {.method = "GET", .target = std::string(EndpointSlicesPath)}, [reply = std::move(reply)](auto response) {
                if (!response)
                    return reply(tl::unexpected(std::move(response.error())));
                reply(decodeEndpointSlices(response->body));
            });
    }

private:
    std::unique_ptr<PlatformConnection> connection_;
};

} // namespace

std::unique_ptr<HttpInstanceList> HttpInstanceList::create(HttpInstanceListOptions options)
{
    return std::make_unique<SliceInstanceList>(options);
}

} // namespace Anvilyard::Platform
