#include "Services/Node/StoreFollower.h"

#include "LibJobs/JobCodec.h"
#include "LibJobs/ResultChain.h"
#include "Tests/Node/NodeFixture.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <map>
#include <thread>

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
protected:
    /// Puts entries of another writer under names that no instance uses into each kind that instances read.
    void putOddEntries()
    {
        for (auto const *const kind : {"config",
                                       "servers",
                                       "batchjobs",
                                       "batchjobparts",
                                       "batchresults",
                                       "batchfailures",
                                       "batchunanswered",
                                       "instances",
                                       "softwareversions",
                                       "retirements",
                                       "quarantines"}) {
            for (auto const *const name : {"#", "&x", "a b", "a%20b", "a+b", "a?allowStale=1", "zz"}) {
                for (auto const *const spec : {"null", R"({"service":7,"version":"x","items":{}})"})
                    thread_.call([&] { store_->put(kind, name, spec); });
            }
        }
    }

    /// Expects that a request is served and a job is done, at an entry and a runner that are up.
    void expectServes(Node::NodeProgram &entry, std::string const &job)
    {
        waitUntilReady(entry);
        EXPECT_EQ(ask(entry, requestOf("/s/1", "of-" + job))->status, 200);
        auto const submitted =
            ask(entry,
                {.method = "POST",
                 .target = "/b/1",
                 .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", job}},
                 .body = R"({"items":[{"id":"i-)" + job + R"(","path":"/b/x","headers":{},"body":"aGVsbG8=","tokens":1}]})"});
        EXPECT_EQ(submitted->status, 202);
        waitUntil([&] { return store_->table().get(Jobs::segmentKind, Jobs::segmentObject(JobId(job), 0)).has_value(); });
    }
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

/// Entries of another writer in each kind, when they are listed, come by the watch, and are read again after a restart. Guards against one
/// that hides the others.
TEST_F(OddEntriesTest, EntriesOfEachKindLeaveTheOthersInUse)
{
    FleetServer const server(
        thread_, [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) { answerEvents(request, writer, 3); });
    putState(1);
    putServer("s1", server.address());
    thread_.call([&] { store_->setPageSize(2); });
    auto *entry = &startNode("entry-1");
    startNode("runner-1", Serving::InstanceRole::Runner);
    expectServes(*entry, "before");
    putOddEntries();
    expectServes(*entry, "watched");
    for (auto const *const name : {"entry-1", "runner-1"})
        killNode(name);
    startNode("runner-1", Serving::InstanceRole::Runner);
    entry = &startNode("entry-1");
    expectServes(*entry, "listed");
}

/// Guards against a job of another writer that is read from the store five times a second for as long as it stands there.
TEST_F(OddEntriesTest, AJobThatCannotBeReadIsReadAgainLessAndLessOften)
{
    putState(1);
    thread_.call([&] { store_->put("batchjobs", "odd", R"({"service":7})"); });
    auto const startedAt = readLocalClock();
    startNode("runner-1", Serving::InstanceRole::Runner);
    // Each attempt reads the job's counts once.
    constexpr std::size_t Attempts = 5;
    waitUntil([&] {
        auto const calls = store_->calls().find("GET batchfailures");
        return calls != store_->calls().end() && calls->second >= Attempts;
    });
    EXPECT_GE(readLocalClock() - startedAt, 3s) << "0.2, 0.4, 0.8 and 1.6 s lie between five attempts";
}

/// The list of software versions has several pages, of which some hold only entries of another writer. Guards against a start that knows
/// the versions of the first page only.
TEST_F(OddEntriesTest, SoftwareVersionsOfAllPagesAreKnownAfterAStart)
{
    putState(1);
    thread_.call([&] {
        store_->setPageSize(1);
        store_->put("softwareversions", "&x", "7");
        for (auto const *const pool : {"p", "q"})
            store_->put("softwareversions", pool, R"({"versions":["v1"]})");
    });
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    auto const address = thread_.call([&] { return node.peerAddress(); });
    waitUntil([&] { return store_->calls().contains("GET softwareversions"); });
    auto const known = [&] {
        auto const answer =
            sendTo(address, {.method = "GET", .target = "/fleet?state=0&since=0", .headers = {{"Host", address.value()}}}).get();
        return answer ? boost::json::parse(answer->body).at("versions").as_object().size() : 0;
    };
    for (auto const until = readLocalClock() + 5s; known() < 2 && readLocalClock() < until;)
        waitFor(20ms);
    EXPECT_EQ(known(), 2U);
}
