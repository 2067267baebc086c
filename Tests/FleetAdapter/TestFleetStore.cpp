#include "Tests/FakeFleet/FleetStoreServer.h"
#include "Tests/Fakes/ScriptedServer.h"
#include "Tests/LibHttp/LoopThread.h"
#include "platform/FleetStore.h"

#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <mutex>

using namespace Anvilyard;
using namespace Anvilyard::Adapter;
using namespace Anvilyard::Platform;
using Tests::FleetStoreServer;
using Tests::OutageMode;

namespace {

Kind const things("things");

class FleetStoreTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        thread_.call([this] {
            server_ = std::make_unique<FleetStoreServer>(thread_.loop());
            store_ = FleetStore::create({.loop = thread_.loop(),
                                         .platform = server_->address(),
                                         .callTimeout = 300ms,
                                         .watchHoldTime = 200ms,
                                         .watchPacing = {.minPause = 1ms, .maxPause = 1ms}});
        });
    }

    void TearDown() override
    {
        thread_.call([this] {
            watch_.reset();
            store_.reset();
            server_.reset();
        });
    }

    /// Runs a call on the loop and waits for its reply.
    template<typename Value, typename Start>
    Result<Value> call(Start start)
    {
        auto promise = std::make_shared<std::promise<Result<Value>>>();
        thread_.loop().post([&] { start([promise](Result<Value> result) { promise->set_value(std::move(result)); }); });
        return promise->get_future().get();
    }

    Result<Object> create(std::string const &name, std::string const &spec = R"({"a":1})")
    {
        return call<Object>([&](auto reply) { store_->create(CallClass::Commit, things, ObjectName(name), spec, reply); });
    }

    Result<Object> get(std::string const &name)
    {
        return call<Object>([&](auto reply) { store_->get(CallClass::Read, things, ObjectName(name), reply); });
    }

    Result<Object> update(Object object)
    {
        return call<Object>([&](auto reply) { store_->update(CallClass::Commit, things, object, reply); });
    }

    void setFaults(Tests::PlatformFaults faults)
    {
        thread_.call([&] { server_->faults().setFaults(faults); });
    }

    Tests::LoopThread thread_;
    std::unique_ptr<FleetStoreServer> server_;
    std::unique_ptr<FleetStore> store_;
    std::unique_ptr<Watch> watch_;
};

} // namespace

TEST_F(FleetStoreTest, ObjectsAreCreatedOnceAndReadBack)
{
    auto const created = create("a b/c");
    ASSERT_TRUE(created) << created.error().toString();
    EXPECT_EQ(create("a b/c").error().code, PlatformError::AlreadyExists);
    EXPECT_EQ(get("missing").error().code, PlatformError::NotFound);
}

TEST_F(FleetStoreTest, AnUpdateIsConditionalOnItsVersion)
{
    auto first = create("a").value();
    auto second = first;
    second.spec = R"({"a":2})";
    ASSERT_TRUE(update(second));
    first.spec = R"({"a":3})";
    EXPECT_EQ(update(first).error().code, PlatformError::Conflict);
    EXPECT_EQ(get("a")->spec, R"({"a":2})");
    first.version = {};
    EXPECT_TRUE(update(first)) << "an update without a version is unconditional";
}

TEST_F(FleetStoreTest, ReplacingTheStatusKeepsTheSpec)
{
    ASSERT_TRUE(create("a"));
    auto const replaced =
        call<Object>([&](auto reply) { store_->replaceStatus(CallClass::Commit, things, ObjectName("a"), R"({"done":true})", reply); });
    ASSERT_TRUE(replaced);
    EXPECT_EQ(get("a")->spec, R"({"a":1})");
    EXPECT_EQ(get("a")->status, R"({"done":true})");
}

TEST_F(FleetStoreTest, ListsAreReadPageByPage)
{
    thread_.call([&] { server_->setPageSize(2); });
    for (auto const *const name : {"a", "b", "c", "d", "e"})
        ASSERT_TRUE(create(name));
    std::vector<std::string> names;
    std::string next;
    do {
        auto const page = call<ObjectList>([&](auto reply) { store_->list(CallClass::Read, things, {.continueToken = next}, reply); });
        ASSERT_TRUE(page);
        for (auto const &object : page->objects)
            names.push_back(object.name.value());
        next = page->continueToken;
    } while (!next.empty());
    EXPECT_EQ(names, (std::vector<std::string>{"a", "b", "c", "d", "e"}));
}

/// Guards against a list that begins again or fails at a page that ends with a name of another writer, which may hold characters that have
/// a meaning in a target. No object after it would be found.
TEST_F(FleetStoreTest, ListsGoOnAfterNamesWithAnyCharacters)
{
    std::vector<std::string> const names = {
        "#", "%", "&x", "a", "a b", "a#c", "a%20d", "a%zz", "a&after=", "a+b", "a/b", "a?allowStale=1", "b", "b\xc3\xa9"};
    for (auto const &name : names)
        thread_.call([&] { server_->put("things", name, "{}"); });
    for (std::size_t const pageSize : {1U, 2U, 3U}) {
        thread_.call([&] { server_->setPageSize(pageSize); });
        std::vector<std::string> listed;
        std::string next;
        do {
            auto const page = call<ObjectList>([&](auto reply) { store_->list(CallClass::Read, things, {.continueToken = next}, reply); });
            ASSERT_TRUE(page) << "after '" << next << "': " << page.error().toString();
            for (auto const &object : page->objects)
                listed.push_back(object.name.value());
            next = page->continueToken;
        } while (!next.empty() && listed.size() <= names.size());
        EXPECT_EQ(listed, names) << pageSize << " objects a page";
    }
}

/// Guards against mapping a lost response to a refusal: the change would be reported as not applied although it was.
TEST_F(FleetStoreTest, FailedCallsAreMappedToErrors)
{
    ASSERT_TRUE(create("known"));
    setFaults({.outage = OutageMode::Refuse});
    EXPECT_EQ(create("a").error().code, PlatformError::Unavailable) << "a 503 guarantees that the call had no effect";
    EXPECT_EQ(get("known").error().code, PlatformError::Unavailable);
    setFaults({.outage = OutageMode::Cut});
    EXPECT_EQ(create("a").error().code, PlatformError::OutcomeUnknown);
    EXPECT_EQ(get("known").error().code, PlatformError::Unavailable);
    setFaults({.outage = OutageMode::Silent});
    EXPECT_EQ(create("a").error().code, PlatformError::OutcomeUnknown);
    setFaults({.refuseForRateShare = 1});
    EXPECT_EQ(create("a").error().code, PlatformError::TooManyCalls);
    setFaults({.loseNextAnswers = 1});
    EXPECT_EQ(create("a").error().code, PlatformError::OutcomeUnknown);
    setFaults({});
    EXPECT_TRUE(get("a")) << "the change was applied";
}

TEST_F(FleetStoreTest, AnUnreadableResponseLeavesTheOutcomeOfAChangeUnknown)
{
    for (std::string const &body : {std::string("nothing"),
                                    std::string("{}"),
                                    std::string(R"({"metadata":{"name":1,"revision":1}})"),
                                    std::string(R"({"metadata":{"name":"a"},"spec":{}})")}) {
        std::unique_ptr<Tests::ScriptedServer> scripted;
        thread_.call([&] {
            scripted = Tests::ScriptedServer::create(thread_.loop(), [body](Tests::ScriptedServer::Connection &connection, std::size_t) {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            });
            store_ = FleetStore::create({.loop = thread_.loop(), .platform = scripted->address(), .callTimeout = 300ms});
        });
        EXPECT_EQ(create("a").error().code, PlatformError::OutcomeUnknown) << body;
        EXPECT_EQ(get("a").error().code, PlatformError::MalformedResponse) << body;
        thread_.call([&] {
            store_.reset();
            scripted.reset();
        });
    }
}

namespace {

/// Records the changes that a watch reports. The test's thread waits for them.
class WatchLog
{
public:
    WatchHandlers handlers()
    {
        return {
            .onChange = [this](WatchChange change,
                               Object const &object) { add((change == WatchChange::Deleted ? "-" : "+") + object.name.value()); },
            .onEnd = [this](Error const &error) { add(error.code == PlatformError::VersionTooOld ? "too old" : "ended"); },
        };
    }

    std::vector<std::string> waitFor(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return entries_.size() >= count; });
        return entries_;
    }

private:
    void add(std::string entry)
    {
        std::lock_guard const guard(mutex_);
        entries_.push_back(std::move(entry));
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> entries_;
};

} // namespace

TEST_F(FleetStoreTest, AWatchReportsChangesAcrossCallsAndEndsAfterCompaction)
{
    WatchLog log;
    auto const start = create("before")->version;
    thread_.call([&] { watch_ = store_->watch(things, start, log.handlers()); });
    ASSERT_TRUE(create("a"));
    EXPECT_EQ(log.waitFor(1).back(), "+a");
    thread_.call([&] { server_->remove("things", "a"); });
    EXPECT_EQ(log.waitFor(2).back(), "-a");
    // The watch continues after two hold times without a change.
    std::promise<void> waited;
    auto const timer = thread_.call([&] { return thread_.loop().at(readLocalClock() + 450ms, [&] { waited.set_value(); }); });
    waited.get_future().wait();
    ASSERT_TRUE(create("b"));
    EXPECT_EQ(log.waitFor(3).back(), "+b");
    thread_.call([&] {
        server_->compact();
        watch_ = store_->watch(things, start, log.handlers());
    });
    EXPECT_EQ(log.waitFor(4).back(), "too old");
}

TEST_F(FleetStoreTest, AWatchEndsWhenTheStoreFails)
{
    WatchLog log;
    auto const start = create("before")->version;
    setFaults({.outage = OutageMode::Refuse});
    thread_.call([&] { watch_ = store_->watch(things, start, log.handlers()); });
    EXPECT_EQ(log.waitFor(1).back(), "ended");
}
