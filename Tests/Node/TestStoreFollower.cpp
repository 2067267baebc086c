#include "Services/Node/StoreFollower.h"

#include "Tests/Node/NodeFixture.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using Platform::ObjectName;
using Platform::PlatformError;

namespace {

/// Store that lists the pages of a script and holds nothing else.
class PagedStore final : public Platform::ObjectStore
{
public:
    /// Returns the page after a token.
    using Pages = std::function<Result<Platform::ObjectList>(std::string const &token)>;

    PagedStore(Http::EventLoop &loop, Pages pages)
        : loop_(loop)
        , pages_(std::move(pages))
    {
    }

    void list(Platform::CallClass, Platform::Kind, Platform::ListOptions options, Platform::Reply<Platform::ObjectList> reply) override
    {
        loop_.post([page = pages_(options.continueToken), reply = std::move(reply)] { reply(page); });
    }

    std::unique_ptr<Platform::Watch> watch(Platform::Kind, Platform::ResourceVersion, Platform::WatchHandlers) override
    {
        return std::make_unique<Platform::Watch>();
    }

    void create(Platform::CallClass, Platform::Kind, ObjectName, std::string, Platform::Reply<Platform::Object>) override { }
    void get(Platform::CallClass, Platform::Kind, ObjectName, Platform::Reply<Platform::Object>) override { }
    void update(Platform::CallClass, Platform::Kind, Platform::Object, Platform::Reply<Platform::Object>) override { }
    void remove(Platform::CallClass, Platform::Kind, ObjectName, Platform::ResourceVersion, Platform::Reply<std::monostate>) override { }

private:
    Http::EventLoop &loop_;
    Pages pages_;
};

Platform::ObjectList pageOf(std::string const &name, std::string const &continueToken)
{
    return {.objects = {{.name = ObjectName(name)}}, .version = Platform::ResourceVersion("1"), .continueToken = continueToken};
}

class OddEntriesTest : public NodeTest
{
};

} // namespace

/// A store that gives the same pages again and again. Guards against a list without end, which calls the store without a pause.
TEST(StoreFollowerTest, AListThatComesBackToAPageFailsAndBeginsAgainLater)
{
    constexpr std::size_t MaxCalls = 100;
    std::map<std::string, std::string> const cycles[] = {
        {{"", "a"}, {"a", "a"}}, {{"", "a"}, {"a", "b"}, {"b", "a"}}, {{"", "a"}, {"a", "b"}, {"b", "c"}, {"c", "b"}}};
    for (auto const &nextOf : cycles) {
        LoopThread thread;
        std::mt19937_64 random;
        std::size_t calls = 0;
        PagedStore store(thread.loop(), [&](std::string const &token) -> Result<Platform::ObjectList> {
            // Ends the test where the list does not.
            if (++calls > MaxCalls)
                return failure(PlatformError::Unavailable);
            return pageOf("x", nextOf.at(token));
        });
        std::optional<Node::StoreFollower> follower;
        thread.call([&] {
            follower.emplace(Node::StoreFollowerOptions{
                .loop = thread.loop(), .store = store, .kind = Platform::Kind("things"), .random = random, .initialBackoff = 1h});
            follower->start();
        });
        while (!thread.call([&] { return follower->unreachableSince().has_value(); }))
            std::this_thread::yield();
        EXPECT_LE(calls, nextOf.size() + 1);
        thread.call([&] { follower.reset(); });
    }
}

/// Another writer's entry stands in the list of servers while a node starts. Guards against a node that never becomes ready because the
/// list does not go on after the entry's name.
TEST_F(OddEntriesTest, AnEntryWithAnOddNameKeepsNoNodeFromServing)
{
    FleetServer const server(thread_, [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = "pong"});
    });
    putState(1);
    for (auto const *const name : {"#", "&x", "i-1 d", "i-1%20d", "i-1&a", "i-1+b"})
        thread_.call([&] { store_->put("servers", name, R"({"service":7,"address":true})"); });
    putServer("i-2", server.address());
    for (std::size_t const pageSize : {1U, 3U}) {
        thread_.call([&] { store_->setPageSize(pageSize); });
        auto const name = "entry-" + std::to_string(pageSize);
        auto &node = startNode(name);
        waitUntilReady(node);
        EXPECT_EQ(ask(node, requestOf("/i/1", "a"))->status, 200);
        killNode(name);
    }
}

/// An id goes into a header of each request to its server. Guards against a server that no request can be sent to, but that takes its turn.
TEST_F(OddEntriesTest, AnEntryWhoseNameCannotBeSentNamesNoServer)
{
    auto const spec = R"({"service":"p","address":"127.0.0.1:80","zone":"z","slots":4,"state":"ready"})";
    for (auto const *const name : {"", " i-1", "i-1\t", "i\n1", "i-1\r\nX: y", "i-\x7f"})
        EXPECT_FALSE(protocol_.readServer(ServerId(name), spec)) << name;
    for (auto const *const name : {"i-1", "i-1 d", "i-1&a", "i-1%20d"})
        EXPECT_TRUE(protocol_.readServer(ServerId(name), spec)) << name;
}
