#include "LibOperator/PlatformSession.h"

#include "LibPlatform/HttpInstanceList.h"
#include "LibPlatform/HttpObjectStore.h"

namespace Anvilyard::Operator {

namespace {

constexpr Duration FetchTimeout = 10s;

} // namespace

struct PlatformSession::Parts {
    Parts(Http::EventLoop &loop, Address const &platform)
        : loop(loop)
        , store(Platform::HttpObjectStore::create({.loop = loop, .platform = platform}))
        , instances(Platform::HttpInstanceList::create({.loop = loop, .platform = platform}))
        , client(Http::HttpClient::create(loop, {}))
        , settling({.store = *store, .after = [this](Duration delay, std::function<void()> task) { after(delay, std::move(task)); }})
    {
    }

    void after(Duration delay, std::function<void()> task)
    {
        timers.push_back(loop.at(readLocalClock() + delay, std::move(task)));
    }

    Http::EventLoop &loop;
    std::unique_ptr<Platform::ObjectStore> store;
    std::unique_ptr<Platform::InstanceList> instances;
    std::unique_ptr<Http::HttpClient> client;
    std::vector<std::unique_ptr<Http::Timer>> timers;
    Platform::SettlingStore settling;
};

PlatformSession::PlatformSession(Address platform)
    : parts_(std::make_unique<Parts>(loop_, platform))
    , thread_([this] { loop_.run(); })
{
}

PlatformSession::~PlatformSession()
{
    loop_.stop();
    thread_.join();
}

template<typename Value>
Result<Value> PlatformSession::call(std::function<void(Parts &, Platform::Reply<Value>)> start)
{
    std::promise<Result<Value>> promise;
    auto future = promise.get_future();
    loop_.post([&] { start(*parts_, [&promise](Result<Value> result) { promise.set_value(std::move(result)); }); });
    return future.get();
}

Result<Platform::Object> PlatformSession::get(Platform::Kind const &kind, Platform::ObjectName const &name)
{
    return call<Platform::Object>(
        [&](Parts &parts, auto reply) { parts.store->get(Platform::CallClass::Read, kind, name, std::move(reply)); });
}

Result<Platform::ObjectList> PlatformSession::list(Platform::Kind const &kind, Platform::ListOptions const &options)
{
    return call<Platform::ObjectList>(
        [&](Parts &parts, auto reply) { parts.store->list(Platform::CallClass::Read, kind, options, std::move(reply)); });
}

Result<Platform::Object> PlatformSession::create(Platform::Kind const &kind,
                                                 Platform::ObjectName const &name,
                                                 std::string const &spec,
                                                 Platform::WriterId const &writer)
{
    return call<Platform::Object>([&](Parts &parts, auto reply) {
        parts.settling.create(Platform::CallClass::Acknowledge, kind, name, spec, writer, std::move(reply));
    });
}

Result<std::vector<Platform::EndpointSet>> PlatformSession::instances()
{
    return call<std::vector<Platform::EndpointSet>>([](Parts &parts, auto reply) { parts.instances->fetch(std::move(reply)); });
}

Result<Http::HttpResponse> PlatformSession::fetch(Address const &server, Http::HttpRequest const &request)
{
    return call<Http::HttpResponse>([&](Parts &parts, auto reply) {
        parts.client->fetch({.server = server, .request = request, .deadline = readLocalClock() + FetchTimeout},
                            [reply = std::move(reply)](auto response) {
                                if (response)
                                    return reply(std::move(*response));
                                reply(tl::unexpected(std::move(response.error().error)));
                            });
    });
}

} // namespace Anvilyard::Operator
