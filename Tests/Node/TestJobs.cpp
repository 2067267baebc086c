#include "LibCore/Rendezvous.h"
#include "LibJobs/JobCodec.h"
#include "LibJobs/ResultChain.h"
#include "LibObserve/Events.h"
#include "Tests/Node/NodeFixture.h"

#include <boost/json.hpp>

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using Serving::InstanceRole;

namespace json = boost::json;

namespace {

class JobsTest : public NodeTest
{
protected:
    void SetUp() override
    {
        putState(1);
    }

    void addServer(std::string const &id, FleetServer::Script script, std::string const &service = "p")
    {
        servers_.push_back(std::make_unique<FleetServer>(thread_, std::move(script)));
        putServer(id, servers_.back()->address(), "ready", 8, "dc", "", service);
    }

    Http::HttpRequest submissionOf(std::string const &job, int items, std::uint64_t tokens = 100)
    {
        json::array list;
        for (int index = 0; index < items; ++index) {
            list.push_back(json::object{{"id", job + "-" + std::to_string(index)},
                                        {"path", "/b/x/" + std::to_string(index)},
                                        {"headers", json::object{}},
                                        {"body", "aGVsbG8="},
                                        {"tokens", tokens}});
        }
        return {.method = "POST",
                .target = "/b/1",
                .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", job}},
                .body = json::serialize(json::object{{"items", std::move(list)}})};
    }

    json::object read(Node::NodeProgram &node, std::string const &job, std::size_t after, int waitMs = 1000)
    {
        auto const answer = ask(node,
                                {.method = "GET",
                                 .target = "/api/lots/" + job + "?after=" + std::to_string(after),
                                 .headers = {{"Host", "h.example"}, {"Anvilyard-Wait-Ms", std::to_string(waitMs)}}});
        if (!answer || answer->status != 200)
            return {};
        return json::parse(answer->body).as_object();
    }

    /// Reads results from the start until there are `count` of them.
    json::array readResults(Node::NodeProgram &node, std::string const &job, std::size_t count)
    {
        json::array results;
        while (results.size() < count) {
            auto const page = read(node, job, results.size());
            if (auto const *more = page.if_contains("results")) {
                for (auto const &result : more->as_array())
                    results.push_back(result);
            }
        }
        return results;
    }

    Http::HttpResponse bodyOf(Node::NodeProgram &node, std::string const &job, std::string const &item)
    {
        return *ask(node, {.method = "GET", .target = "/api/items/" + job + "?id=" + item, .headers = {{"Host", "h.example"}}});
    }

    /// Sends the report of a runner that never times out.
    void reportRunner(Node::NodeProgram &receiver, Serving::PeerReport report)
    {
        report.startedAt = 1;
        report.number = 1;
        report.nextWithin = 1h;
        report.role = InstanceRole::Runner;
        report.address = Address("127.0.0.1:9");
        thread_.call([&] {
            auto const socket = Node::DatagramSocket::open(thread_.loop(), Address("127.0.0.1:0"), [](auto) {});
            (*socket)->send(receiver.peerAddress(), Serving::encodePeerReport(report));
        });
    }

    /// Returns a name for a job that the runner owns among the given ones.
    static std::string jobOwnedBy(std::string const &owner, std::vector<std::string> const &runners)
    {
        for (int number = 0;; ++number) {
            auto job = "job-" + std::to_string(number);
            if (*rendezvousOwner(job, runners, [](std::string const &name) -> std::string const & { return name; }) == owner)
                return job;
        }
    }

    /// Asks a runner for results as an entry with the same view of the fleet does.
    Answer readFromRunner(Node::NodeProgram &runner, std::string const &job, std::size_t from)
    {
        std::promise<Answer> answered;
        thread_.call([&] {
            client_->fetch({.server = runner.peerAddress(),
                            .request = {.method = "GET",
                                        .target = Node::toTarget(
                                            Node::PeerReadResults{.job = JobId(job), .from = from, .runnersHash = runner.runnersHash()})},
                            .deadline = readLocalClock() + 20s},
                           [&](Answer answer) { answered.set_value(std::move(answer)); });
        });
        return answered.get_future().get();
    }

    /// Waits until the runner answers for the job without a look at the store.
    void waitUntilConfirmed(Node::NodeProgram &runner, std::string const &job)
    {
        for (;;) {
            auto const answer = readFromRunner(runner, job, 0);
            if (answer && answer->status == 200)
                return;
            auto const passed = std::make_shared<std::promise<void>>();
            auto const timer = thread_.call([&] { return thread_.loop().at(readLocalClock() + 50ms, [passed] { passed->set_value(); }); });
            passed->get_future().wait();
            thread_.call([&] { timer->cancel(); });
        }
    }

    std::vector<std::unique_ptr<FleetServer>> servers_;
};

FleetServer::Script const complete = [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
    answerEvents(request, writer, 3);
};

} // namespace

/// The watches of hundreds of instances are paced, as each return costs a call of the store. Guards against jobs that start, and end, only
/// with the next return of their owner's watch.
TEST_F(JobsTest, TheOwnerIsNotifiedOfAJobAheadOfItsWatch)
{
    watchPacing_ = {{Jobs::jobKind, {.minPause = 60s, .maxPause = 60s}}};
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntilReady(runner);
    waitUntil([&] { return entry.runnersHash() == runner.runnersHash() && runner.runnersHash() != 0; });
    // The first job ends the first watch, and the second one comes during the pause.
    for (auto const *const job : {"first", "second"}) {
        ASSERT_EQ(ask(entry, submissionOf(job, 2))->status, 202);
        EXPECT_EQ(readResults(entry, job, 2).size(), 2U);
    }
}

TEST_F(JobsTest, AJobIsAcceptedOnceThenRunAndReadByPosition)
{
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    EXPECT_EQ(ask(entry, submissionOf("j", 4))->status, 202);
    EXPECT_EQ(ask(entry, submissionOf("j", 4))->status, 202) << "a repeated submission is acknowledged again";
    auto const results = readResults(entry, "j", 4);
    std::set<std::string> ids;
    for (auto const &result : results) {
        EXPECT_EQ(result.as_object().at("state").as_string(), "completed");
        EXPECT_EQ(result.as_object().at("output").as_string(), "t0\nt1\nt2");
        ids.insert(std::string(result.as_object().at("id").as_string()));
    }
    EXPECT_EQ(ids.size(), 4U);
    EXPECT_EQ(servers_[0]->requests().size(), 4U) << "each item ran once";
    EXPECT_EQ(servers_[0]->requests()[0].body, "hello");
    EXPECT_EQ(read(entry, "j", 4).at("total").to_number<int>(), 4);
    EXPECT_EQ(ask(entry, {.method = "GET", .target = "/api/lots/other", .headers = {{"Host", "h.example"}}})->status, 404);
}

/// Runners disagree about the owners of jobs for seconds after each change of the fleet, in which clients poll hundreds of jobs. Guards
/// against polls that each read a job and all its segments from the store.
TEST_F(JobsTest, AnEmptyReadOfAnUnsettledOwnerCostsOneCall)
{
    addServer("s1", [](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        // The first two items are completed, and the third one never ends.
        if (number <= 2)
            complete(number, request, writer);
    });
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntil([&] { return entry.runnersHash() == runner.runnersHash() && runner.runnersHash() != 0; });
    ASSERT_EQ(ask(entry, submissionOf("job", 3))->status, 202);
    EXPECT_EQ(readResults(entry, "job", 2).size(), 2U);
    auto const countReads = [&] {
        std::size_t count = 0;
        for (auto const &[call, number] : thread_.call([&] { return store_->calls(); }))
            count += call.starts_with("GET batch") ? number : 0;
        return count;
    };
    auto const before = countReads();
    auto const page = read(entry, "job", 2, 10);
    EXPECT_TRUE(page.at("results").as_array().empty());
    EXPECT_EQ(page.at("total").to_number<int>(), 3);
    EXPECT_EQ(countReads(), before + 1);
}

/// When the store returns, runners reach it one after the other within half a second, and each one changes the owners of jobs in the view
/// of the others. Guards against runners that give jobs away and take them back some milliseconds later, which ends the runs of their items
/// and sends them anew. A send that is taken back may have failed unseen, and after three of them an item is not sent any more.
TEST_F(JobsTest, RunsAreNotEndedWhenRunnersLoseAndReachTheStore)
{
    constexpr std::size_t JobCount = 16;
    constexpr std::size_t ItemsPerJob = 2;
    std::vector<std::pair<FleetServer::Writer, std::uint64_t>> runs;
    std::size_t ended = 0;
    for (auto const *const id : {"s1", "s2", "s3", "s4", "s5", "s6"}) {
        addServer(id, [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
            // Health checks have no id.
            if (!request.headers.contains("Anvilyard-Attempt-Id"))
                return writer->respond({.status = 200});
            writer->onCallerGone([&] { ++ended; });
            writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
            runs.emplace_back(writer, 0);
        });
    }
    auto &entry = startNode("entry-1");
    std::vector<Node::NodeProgram *> runners;
    for (auto const *const name : {"runner-1", "runner-2", "runner-3", "runner-4", "runner-5", "runner-6"})
        runners.push_back(&startNode(name, InstanceRole::Runner));
    waitUntilReady(entry);
    waitUntil([&] {
        auto const hash = runners.front()->runnersHash();
        return hash != 0 && std::ranges::all_of(runners, [&](auto const *runner) { return runner->runnersHash() == hash; });
    });
    auto const generateFor = [&](Duration time) {
        for (auto const until = readLocalClock() + time; readLocalClock() < until; waitFor(100ms)) {
            thread_.call([&] {
                for (auto &[writer, events] : runs) {
                    writer->write(eventTexts(events, events + 1), nullptr);
                    ++events;
                }
            });
        }
    };
    for (std::size_t job = 0; job < JobCount; ++job)
        ASSERT_EQ(ask(entry, submissionOf("job-" + std::to_string(job), ItemsPerJob))->status, 202);
    waitUntil([&] { return runs.size() == JobCount * ItemsPerJob; });
    thread_.call([&] {
        store_->faults().setFaults({.outage = OutageMode::Cut});
        // Ends the watches, too.
        store_->compact();
    });
    generateFor(2s);
    thread_.call([&] { store_->faults().setFaults({}); });
    generateFor(3s);
    EXPECT_EQ(thread_.call([&] { return ended; }), 0U) << "of " << JobCount * ItemsPerJob << " runs";
    thread_.call([&] {
        for (auto const &[writer, events] : runs)
            writer->finish();
    });
}

/// Guards against three further calls of the store for each accepted job, which were most of all calls on a day without trouble.
TEST_F(JobsTest, AJobThatWasJustCreatedIsReadWithOneCall)
{
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    // While runners may disagree about the owners, which they may after their start, all that is stored of a job is read.
    for (int number = 0;; ++number) {
        auto const before = thread_.call([&] { return store_->calls(); });
        auto const job = "job-" + std::to_string(number);
        ASSERT_EQ(ask(entry, submissionOf(job, 1))->status, 202);
        ASSERT_EQ(readResults(entry, job, 1).size(), 1U);
        auto const countOf = [](std::map<std::string, std::size_t> const &calls, std::string const &call) {
            auto const found = calls.find(call);
            return found == calls.end() ? 0 : found->second;
        };
        auto const after = thread_.call([&] { return store_->calls(); });
        auto const added = [&](std::string const &call) { return countOf(after, call) - countOf(before, call); };
        if (added("GET batchfailures") == 0 && added("GET batchunanswered") == 0 && added("GET batchresults") == 0)
            break;
    }
}

/// Guards against results that are listed again or lost, because the copy of the store that may be stale lacks them.
TEST_F(JobsTest, AStaleCopyOfTheStoreHidesNoResults)
{
    thread_.call([&] { store_->setStaleCopyEmpty(true); });
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 3));
    auto const results = readResults(entry, "j", 3);
    killNode("runner-1");
    EXPECT_EQ(readResults(entry, "j", 3), results);
    startNode("runner-2", InstanceRole::Runner);
    EXPECT_EQ(readResults(entry, "j", 3), results);
}

/// Guards against storing empty segments, which happened when encoding and moving the segment were arguments of the same call.
TEST_F(JobsTest, ResultsAreReadFromTheStoreWhenNoRunnerIsLeft)
{
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 3));
    auto const results = readResults(entry, "j", 3);
    killNode("runner-1");
    EXPECT_EQ(readResults(entry, "j", 3), results);
}

TEST_F(JobsTest, AnotherRunnerResumesTheJobOfALostRunner)
{
    std::vector<FleetServer::Writer> held;
    std::atomic<bool> holds = true;
    addServer("s1", [&](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (holds && number > 2)
            return held.push_back(writer);
        answerEvents(request, writer, 3);
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 5));
    auto const first = readResults(entry, "j", 2);
    startNode("runner-2", InstanceRole::Runner);
    killNode("runner-1");
    holds = false;
    auto const all = readResults(entry, "j", 5);
    for (std::size_t position = 0; position < first.size(); ++position)
        EXPECT_EQ(all[position], first[position]) << "results keep their positions";
    thread_.call([&] { held.clear(); });
}

TEST_F(JobsTest, ItemsThatFailOrAreImpossibleAreGivenUp)
{
    addServer("s1", [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (request.target.ends_with("/0"))
            return writer->respond({.status = 422, .headers = signedHeaders(request, "text/plain")});
        if (request.target.ends_with("/1"))
            return writer->respond({.status = 500, .headers = signedHeaders(request, "text/plain")});
        answerEvents(request, writer, 3);
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 3));
    std::map<std::string, std::string> states;
    for (auto const &result : readResults(entry, "j", 3))
        states[std::string(result.as_object().at("id").as_string())] = std::string(result.as_object().at("state").as_string());
    EXPECT_EQ(states["j-0"], "dead_letter");
    EXPECT_EQ(states["j-1"], "dead_letter");
    EXPECT_EQ(states["j-2"], "completed");
    std::map<std::string, int> sends;
    for (auto const &request : servers_[0]->requests())
        ++sends[request.target];
    EXPECT_EQ(sends["/b/x/0"], 1);
    EXPECT_EQ(sends["/b/x/1"], 3);
}

TEST_F(JobsTest, ABrokenItemIsResumedAfterItsLastEvent)
{
    addServer("s1", [](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (number > 1)
            return answerEvents(request, writer, 6);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 3) + "id: 3", [writer](auto) { writer->abort(); });
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 1));
    EXPECT_EQ(readResults(entry, "j", 1)[0].as_object().at("output").as_string(), "t0\nt1\nt2\nt3\nt4\nt5");
    EXPECT_EQ(servers_[0]->requests().at(1).headers.find("Last-Event-Id"), "2");
}

/// The operator splits a route while items of a job wait. Guards against items that run at a service to which no desired state allows them
/// to go.
TEST_F(JobsTest, ItemsFollowARouteThatIsSplitEachByItsOwnPath)
{
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    constexpr int Items = 12;
    ASSERT_EQ(ask(entry, submissionOf("j", Items))->status, 202);
    std::string routes;
    std::string services;
    for (std::string const part : {"1", "2"}) {
        routes += R"(,{"name":"b)" + part + R"(","host":"h.example","pathPrefix":"/b/x/)" + part
            + R"(","kind":"batch","timeoutMs":3000,"sloMs":1000,"priority":0,"service":"p)" + part
            + R"(","attempts":3,"completionTargetMs":18000,"queueTtlS":60,"cap":100000})";
        services += R"(,{"name":"p)" + part + R"(","healthPath":"/healthz","maxConns":100})";
    }
    putState(2, routes, 100'000, services);
    addServer("s0", complete);
    addServer("s1", complete, "p1");
    addServer("s2", complete, "p2");
    EXPECT_EQ(readResults(entry, "j", Items).size(), static_cast<std::size_t>(Items));
    for (std::size_t server = 0; server < servers_.size(); ++server) {
        for (auto const &request : servers_[server]->requests()) {
            auto const isOf = [&](std::string const &part) { return request.target.starts_with("/b/x/" + part); };
            auto const expected = isOf("1") ? 1U : isOf("2") ? 2U : 0U;
            EXPECT_EQ(server, expected) << request.target;
        }
    }
}

/// A server spoils one event of an item's text. Guards against results of a whole job that the store refuses for it.
TEST_F(JobsTest, AnEventThatIsNotUtf8IsAskedForAgain)
{
    addServer("s1", [](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (number > 1)
            return answerEvents(request, writer, 4);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 2) + "id: 2\ndata: \xff\xfe\n\n" + eventText(3), nullptr);
        writer->finish();
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 3));
    for (auto const &result : readResults(entry, "j", 3))
        EXPECT_EQ(result.as_object().at("output").as_string(), "t0\nt1\nt2\nt3");
    EXPECT_EQ(servers_[0]->requests().size(), 4U);
}

/// A server that crashes right after the head of a response without a length leaves one that looks whole, but has no event. Guards against
/// items that are completed without any output.
TEST_F(JobsTest, AResponseWithoutEventsDoesNotCompleteAnItem)
{
    addServer("s1", [](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (number > 2)
            return answerEvents(request, writer, 3);
        writer->respond({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 1));
    EXPECT_EQ(readResults(entry, "j", 1)[0].as_object().at("output").as_string(), "t0\nt1\nt2");
}

/// A server breaks its connection after the last event of an item. Guards against an item that is never completed because the rest has no
/// event.
TEST_F(JobsTest, AResumeAfterTheLastEventCompletesAnItem)
{
    addServer("s1", [](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (number > 1)
            return answerEvents(request, writer, 3);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 3), [writer](auto) { writer->abort(); });
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 1));
    EXPECT_EQ(readResults(entry, "j", 1)[0].as_object().at("output").as_string(), "t0\nt1\nt2");
    EXPECT_EQ(servers_[0]->requests().at(1).headers.find("Last-Event-Id"), "2");
}

/// Guards against failed attempts that leave no trace, or whose line does not show whether they ended within an event.
TEST_F(JobsTest, AFailedAttemptIsLoggedWithItsPosition)
{
    std::vector<std::map<std::string, std::string>> lines;
    Observe::setLogSink([&](Observe::EventDefinition const &event, std::initializer_list<Observe::Field> fields) {
        if (event.name != Observe::Events::NodeItemAttemptFailed.name)
            return;
        auto &line = lines.emplace_back();
        for (auto const &field : fields)
            line.emplace(field.name, field.value);
    });
    addServer("s1", [](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (number > 3)
            return answerEvents(request, writer, 4);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        // The first response breaks within an event, the second one has a gap, and the third one ends within an event.
        if (number == 1)
            return writer->write(eventTexts(0, 2) + "id: 2", [writer](auto) { writer->abort(); });
        writer->write(number == 2 ? eventText(3) : eventText(2) + "id: 3\n", nullptr);
        writer->finish();
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 1));
    EXPECT_EQ(readResults(entry, "j", 1)[0].as_object().at("output").as_string(), "t0\nt1\nt2\nt3");
    thread_.call([] { Observe::setLogSink(nullptr); });
    ASSERT_EQ(lines.size(), 3U);
    using Fields = std::vector<std::string>;
    auto const position = [](auto const &line) { return Fields{line.at("after_event"), line.at("events"), line.at("unfinished_bytes")}; };
    EXPECT_EQ(position(lines[0]), (Fields{"none", "2", "5"}));
    EXPECT_EQ(position(lines[1]), (Fields{"1", "0", "0"}));
    EXPECT_EQ(position(lines[2]), (Fields{"1", "1", "6"}));
}

/// A server states in its responses to items that it is leaving; its registration still says ready. Guards against starting more items
/// there.
TEST_F(JobsTest, AServerThatStatesThatItLeavesGetsNoNewItems)
{
    addServer("s1", [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        auto headers = signedHeaders(request, "text/event-stream");
        headers.set("Server-Leaving", "1");
        writer->respond({.status = 200, .headers = std::move(headers), .body = eventTexts(0, 3)});
    });
    addServer("s2", complete);
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 20));
    readResults(entry, "j", 20);
    auto const sent = servers_[0]->requests().size();
    EXPECT_GE(sent, 1U);
    ask(entry, submissionOf("k", 20));
    readResults(entry, "k", 20);
    EXPECT_EQ(servers_[0]->requests().size(), sent);
}

TEST_F(JobsTest, BodiesAreReadUntilTheirItemIsListed)
{
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 2));
    EXPECT_EQ(bodyOf(entry, "j", "j-1").body, "hello");
    EXPECT_EQ(bodyOf(entry, "j", "j-9").status, 404);
    EXPECT_EQ(bodyOf(entry, "other", "j-1").status, 404);
}

/// Guards against a runner that does not follow the status of its jobs.
TEST_F(JobsTest, AnEndedJobIsNoLongerRun)
{
    std::promise<void> arrived;
    std::promise<void> gone;
    addServer("s1", [&](int number, Http::HttpRequest const &, FleetServer::Writer const &writer) {
        if (number > 1)
            return;
        writer->onCallerGone([&gone, writer] { gone.set_value(); });
        arrived.set_value();
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 1));
    arrived.get_future().wait();
    for (int repeat = 0; repeat < 2; ++repeat)
        EXPECT_EQ(ask(entry, {.method = "DELETE", .target = "/api/lots/j", .headers = {{"Host", "h.example"}}})->status, 200);
    gone.get_future().wait();
    EXPECT_EQ(ask(entry, {.method = "DELETE", .target = "/api/lots/other", .headers = {{"Host", "h.example"}}})->status, 404);
}

/// Guards against refusing a submission with 503 when the store's acknowledgement was lost: the caller would conclude that the job
/// does not run, but it may.
TEST_F(JobsTest, ASubmissionWithUnknownOutcomeIsNotReportedAsNotRun)
{
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    thread_.call([&] { store_->faults().setFaults({.loseNextAnswers = 1}); });
    EXPECT_EQ(ask(entry, submissionOf("j", 1))->status, 202) << "the retry finds the job stored";
    thread_.call([&] { store_->faults().setFaults({.outage = OutageMode::Cut}); });
    EXPECT_EQ(ask(entry, submissionOf("k", 1))->status, 504);
    thread_.call([&] { store_->faults().setFaults({.outage = OutageMode::Refuse}); });
    auto const refused = ask(entry, submissionOf("l", 1));
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->headers.contains("Retry-After"));
}

TEST_F(JobsTest, AJobOverTheQuotaIsRefusedAndWaitingJobsCount)
{
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    while (ask(entry, submissionOf("a", 2, 40'000))->status != 202)
        ;
    EXPECT_EQ(ask(entry, submissionOf("b", 2, 40'000))->status, 429);
    EXPECT_EQ(ask(entry, submissionOf("a", 2, 40'000))->status, 202) << "a repeated submission is not counted again";
    EXPECT_EQ(ask(entry, submissionOf("c", 1, 10'000))->status, 202);
    EXPECT_EQ(ask(entry, submissionOf("d", 2, 60'000))->status, 429) << "the job alone exceeds the limit";
}

/// Two entries receive jobs at the same time, before any runner has counted them. Guards against entries that admit jobs without
/// the route's admitter.
TEST_F(JobsTest, ConcurrentSubmissionsAtTwoEntriesShareOneQuota)
{
    auto &first = startNode("entry-1");
    auto &second = startNode("entry-2");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(first);
    waitUntilReady(second);
    while (ask(first, submissionOf("a", 1, 60'000))->status != 202)
        ;
    auto one = sendTo(first, submissionOf("b", 1, 30'000));
    auto two = sendTo(second, submissionOf("c", 1, 30'000));
    auto const statuses = std::set<int>{one.get()->status, two.get()->status};
    EXPECT_EQ(statuses, (std::set<int>{202, 429}));
}

TEST_F(JobsTest, ARetiringRunnerHandsItsJobsOverAndReportsIt)
{
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    startNode("runner-2", InstanceRole::Runner);
    waitUntilReady(entry);
    thread_.call([&] { store_->put("retirements", "runner-1", R"({"durationS":10})"); });
    waitUntil([&] {
        auto const object = store_->table().get(Platform::Kind("retirements"), Platform::ObjectName("runner-1"));
        return object->status == R"({"state":"completed"})";
    });
    ask(entry, submissionOf("j", 3));
    EXPECT_EQ(readResults(entry, "j", 3).size(), 3U);
}

TEST_F(JobsTest, ARetirementOfALostRunnerIsReportedByAnother)
{
    startNode("runner-2", InstanceRole::Runner);
    thread_.call([&] { store_->put("retirements", "runner-1", R"({"durationS":10})"); });
    waitUntil([&] {
        auto const object = store_->table().get(Platform::Kind("retirements"), Platform::ObjectName("runner-1"));
        return object->status == R"({"state":"completed"})";
    });
}

/// While a peer reports a different set of runners, another runner may own the job and store outcomes (day split-and-burst on
/// Stevec). Guards against an owner that does not check the store for them once all peers agree again.
TEST_F(JobsTest, AnOwnerReturnsOutcomesStoredByAnotherOwner)
{
    std::vector<FleetServer::Writer> held;
    addServer("s1", [&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { held.push_back(writer); });
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ask(entry, submissionOf("j", 2));
    waitUntil([&] { return !held.empty(); });
    Serving::PeerReport ghost{
        .sender = InstanceId("ghost"), .startedAt = 1, .number = 1, .address = Address("127.0.0.1:9"), .runnersHash = 1};
    thread_.call([&] {
        auto const socket = Node::DatagramSocket::open(thread_.loop(), Address("127.0.0.1:0"), [](auto) {});
        (*socket)->send(runner.peerAddress(), Serving::encodePeerReport(ghost));
    });
    Jobs::ResultSegment const theirs{.outcomes = {{.id = Jobs::ItemId("j-1"), .output = "theirs"}}};
    thread_.call([&] {
        static_cast<void>(store_->table().create(Jobs::segmentKind, Jobs::segmentObject(JobId("j"), 0), Jobs::encodeSegment(theirs)));
    });
    // The owner responds with 200 again once the disagreement has ended; until then the entry would read the store.
    std::string body;
    while (body.find("theirs") == std::string::npos) {
        std::promise<Answer> answered;
        thread_.call([&] {
            client_->fetch(
                {.server = runner.peerAddress(),
                 .request = {.method = "GET",
                             .target = Node::toTarget(Node::PeerReadResults{.job = JobId("j"), .runnersHash = runner.runnersHash()})},
                 .deadline = readLocalClock() + 20s},
                [&](Answer answer) { answered.set_value(std::move(answer)); });
        });
        auto const answer = answered.get_future().get();
        ASSERT_TRUE(answer);
        if (answer->status == 200)
            body = answer->body;
        ASSERT_TRUE(answer->status != 200 || body.find("theirs") != std::string::npos) << "the owner responded before it checked the store";
    }
    thread_.call([&] { held.clear(); });
}

/// Guards against items that wait for a server without a line that says why.
TEST_F(JobsTest, ItemsThatWaitForAServerAreLogged)
{
    std::vector<std::map<std::string, std::string>> lines;
    Observe::setLogSink([&](Observe::EventDefinition const &event, std::initializer_list<Observe::Field> fields) {
        if (event.name != Observe::Events::NodeItemsStalled.name)
            return;
        auto &line = lines.emplace_back();
        for (auto const &field : fields)
            line.emplace(field.name, field.value);
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ASSERT_EQ(ask(entry, submissionOf("j", 2))->status, 202);
    waitUntil([&] { return !lines.empty(); });
    thread_.call([] { Observe::setLogSink(nullptr); });
    EXPECT_EQ(lines[0].at("pool"), "p");
    EXPECT_EQ(lines[0].at("waiting"), "2");
    EXPECT_EQ(lines[0].at("accepting"), "0");
}

/// Guards against a job whose items wait without a line that says why.
TEST_F(JobsTest, AJobThatWaitsIsLoggedWithTheReason)
{
    std::vector<std::map<std::string, std::string>> lines;
    Observe::setLogSink([&](Observe::EventDefinition const &event, std::initializer_list<Observe::Field> fields) {
        if (event.name != Observe::Events::NodeJobWaiting.name)
            return;
        auto &line = lines.emplace_back();
        for (auto const &field : fields)
            line.emplace(field.name, field.value);
    });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ASSERT_EQ(ask(entry, submissionOf("j", 2))->status, 202);
    waitUntil([&] { return !lines.empty(); });
    thread_.call([] { Observe::setLogSink(nullptr); });
    EXPECT_EQ(lines[0].at("job"), "j");
    EXPECT_EQ(lines[0].at("reason"), "no-server");
    EXPECT_EQ(lines[0].at("waiting"), "2");
}

/// A pool has servers in one data centre only, and runners there and elsewhere. Guards against items that wait for ever at an owner whose
/// data centre has no server of their pool, while servers elsewhere are idle.
TEST_F(JobsTest, ItemsOfAnOwnerWithoutServersInItsDataCentreRunElsewhere)
{
    servers_.push_back(std::make_unique<FleetServer>(thread_, complete));
    putServer("s1", servers_.back()->address(), "ready", 8, "elsewhere");
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntilReady(runner);
    Serving::PeerReport const far{
        .sender = InstanceId("runner-2"), .dataCentre = DataCentreId("elsewhere"), .runnersHash = 1, .knownInstances = 300};
    reportRunner(entry, far);
    reportRunner(runner, far);
    auto const job = jobOwnedBy("runner-1", {"runner-1", "runner-2"});
    ASSERT_EQ(ask(entry, submissionOf(job, 2))->status, 202);
    EXPECT_EQ(readResults(entry, job, 2).size(), 2U);
}

/// An entry accepts a job, its notice to the owner is lost, and so is the next return of the owner's watch. Guards against an owner that
/// answers every read of the job with "not mine" and does not look for it.
TEST_F(JobsTest, AReadOfAJobThatItsOwnerHasNotHeardOfStartsTheJob)
{
    watchPacing_ = {{Jobs::jobKind, {.minPause = 1h, .maxPause = 1h}}};
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntilReady(runner);
    waitUntil([&] { return entry.runnersHash() == runner.runnersHash() && runner.runnersHash() != 0; });
    // This job ends the watch, whose pause follows.
    ASSERT_EQ(ask(entry, submissionOf("first", 1))->status, 202);
    EXPECT_EQ(readResults(entry, "first", 1).size(), 1U);
    Jobs::JobRecord const unheard{.id = JobId("unheard"),
                                  .host = "h.example",
                                  .acceptedAt = readClocks().wall,
                                  .items = {{.id = Jobs::ItemId("unheard-0"), .target = "/b/x/0", .body = "hello", .tokens = 1}}};
    thread_.call(
        [&] { static_cast<void>(store_->table().create(Jobs::jobKind, Jobs::jobObject(unheard.id), Jobs::encodeJob(unheard).spec)); });
    EXPECT_EQ(readResults(entry, "unheard", 1).size(), 1U);
}

/// All views name an owner that has no process, as on coldline-kr-grown inc1. Guards against jobs that are accepted and that no runner
/// looks for.
TEST_F(JobsTest, AJobWhoseOwnerDoesNotExistIsRunByTheNextRunner)
{
    ownerCheck_ = {.firstAfter = 100ms, .interval = 100ms, .retryPause = 50ms, .unansweredToTake = 200ms};
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntilReady(runner);
    for (auto *node : {&entry, &runner})
        reportRunner(*node, {.sender = InstanceId("ghost")});
    waitUntil([&] { return entry.runnersHash() == runner.runnersHash() && runner.runnersHash() != 0; });
    auto const job = jobOwnedBy("ghost", {"ghost", "runner-1"});
    ASSERT_EQ(ask(entry, submissionOf(job, 2))->status, 202);
    waitUntil([&] { return store_->table().get(Jobs::segmentKind, Jobs::segmentObject(JobId(job), 0)).has_value(); });
    EXPECT_EQ(readResults(entry, job, 2).size(), 2U);
}

/// The notice of a job to its owner is lost, the next return of the owner's watch is far away, and nobody reads the job. Guards against
/// items that wait until then.
TEST_F(JobsTest, AJobThatItsOwnerHasNotHeardOfIsFoundByTheNextRunner)
{
    ownerCheck_ = {.firstAfter = 100ms, .interval = 100ms, .retryPause = 50ms, .refusalsToTake = 1'000};
    watchPacing_ = {{Jobs::jobKind, {.minPause = 1h, .maxPause = 1h}}};
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    auto &first = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntil([&] { return entry.runnersHash() == first.runnersHash() && first.runnersHash() != 0; });
    ASSERT_EQ(ask(entry, submissionOf("first", 1))->status, 202);
    EXPECT_EQ(readResults(entry, "first", 1).size(), 1U);
    waitUntil([&] { return store_->pendingWatches(Jobs::jobKind) == 0; });
    auto &second = startNode("runner-2", InstanceRole::Runner);
    // The first runner renews its watch once after the change of the runners, and the next job ends it again. Replaced watches count, too.
    waitUntil([&] { return first.runnersHash() == second.runnersHash() && store_->pendingWatches(Jobs::jobKind) >= 2; });
    ASSERT_EQ(ask(entry, submissionOf("second", 1))->status, 202);
    EXPECT_EQ(readResults(entry, "second", 1).size(), 1U);
    Jobs::JobRecord const unheard{.id = JobId(jobOwnedBy("runner-1", {"runner-1", "runner-2"})),
                                  .host = "h.example",
                                  .acceptedAt = readClocks().wall,
                                  .items = {{.id = Jobs::ItemId("unheard-0"), .target = "/b/x/0", .body = "hello", .tokens = 1}}};
    thread_.call(
        [&] { static_cast<void>(store_->table().create(Jobs::jobKind, Jobs::jobObject(unheard.id), Jobs::encodeJob(unheard).spec)); });
    sendTo(second.peerAddress(), {.method = "GET", .target = Node::toTarget(Node::PeerJobNotice{.job = unheard.id})}).get();
    waitUntil([&] { return store_->table().get(Jobs::segmentKind, Jobs::segmentObject(unheard.id, 0)).has_value(); });
}

/// Another runner asks the owner of a job whether it holds the job. Guards against an answer that makes the other one run the job as well,
/// or not run it, and against an owner that does not look for a job that it has not heard of.
TEST_F(JobsTest, AnOwnerAnswersWhetherItHoldsAJob)
{
    watchHoldTime_ = 1h;
    std::vector<FleetServer::Writer> unanswered;
    addServer("s1", [&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { unanswered.push_back(writer); });
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntil([&] { return entry.runnersHash() == runner.runnersHash() && store_->pendingWatches(Jobs::jobKind) == 1; });
    auto const askOwner = [&](std::string const &job) {
        return *sendTo(runner.peerAddress(), {.method = "GET", .target = Node::toTarget(Node::PeerOwnerCheck{.job = JobId(job)})}).get();
    };
    EXPECT_EQ(askOwner("none").status, Node::NotOwnerStatus);
    thread_.call([&] { store_->silenceWatches(Jobs::jobKind); });
    Jobs::JobRecord const unheard{.id = JobId("unheard"),
                                  .host = "h.example",
                                  .acceptedAt = readClocks().wall,
                                  .items = {{.id = Jobs::ItemId("unheard-0"), .target = "/b/x/0", .body = "hello", .tokens = 1}}};
    thread_.call(
        [&] { static_cast<void>(store_->table().create(Jobs::jobKind, Jobs::jobObject(unheard.id), Jobs::encodeJob(unheard).spec)); });
    EXPECT_EQ(askOwner("unheard").status, Node::NotOwnerStatus) << "it reads the job now";
    waitUntil([&] { return !unanswered.empty(); });
    auto const held = askOwner("unheard");
    EXPECT_EQ(held.status, 200);
    EXPECT_NE(held.body, Node::JobDoneBody);
    ASSERT_EQ(ask(entry, {.method = "DELETE", .target = "/api/lots/unheard", .headers = {{"Host", "h.example"}}})->status, 200);
    // The notice of the end may arrive after the answer to the caller.
    while (askOwner("unheard").body != Node::JobDoneBody)
        std::this_thread::yield();
    thread_.call([&] { unanswered.clear(); });
}

/// A server is registered and cannot be reached, as one that was lost without a word; it has the most free slots. Guards against an item
/// that is sent there again and again while another server is idle.
TEST_F(JobsTest, AnItemDoesNotWaitForAServerThatCannotBeReached)
{
    addServer("s2", complete);
    Address lost;
    {
        FleetServer const gone(thread_, complete);
        lost = gone.address();
    }
    putServer("s1", lost);
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ASSERT_EQ(ask(entry, submissionOf("j", 1))->status, 202);
    EXPECT_EQ(readResults(entry, "j", 1).size(), 1U);
}

/// The response to a runner's watch is lost, and then the owner of a job that was accepted since. Guards against jobs that no runner knows
/// of until the watch call times out.
TEST_F(JobsTest, TheJobsOfALostRunnerAreFoundByARunnerWithASilentWatch)
{
    watchHoldTime_ = 1h;
    addServer("s1", complete);
    auto &entry = startNode("entry-1");
    auto &first = startNode("runner-1", InstanceRole::Runner);
    auto &second = startNode("runner-2", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntil([&] {
        return entry.runnersHash() == first.runnersHash() && first.runnersHash() == second.runnersHash() && first.runnersHash() != 0
            && store_->pendingWatches(Jobs::jobKind) == 2;
    });
    thread_.call([&] { store_->silenceWatches(Jobs::jobKind); });
    killNode("runner-1");
    Jobs::JobRecord const unheard{.id = JobId("unheard"),
                                  .host = "h.example",
                                  .acceptedAt = readClocks().wall,
                                  .items = {{.id = Jobs::ItemId("unheard-0"), .target = "/b/x/0", .body = "hello", .tokens = 1}}};
    thread_.call(
        [&] { static_cast<void>(store_->table().create(Jobs::jobKind, Jobs::jobObject(unheard.id), Jobs::encodeJob(unheard).spec)); });
    waitUntil([&] { return store_->table().get(Jobs::segmentKind, Jobs::segmentObject(unheard.id, 0)).has_value(); });
}

/// A segment of the previous owner takes effect after the new one has looked for it, and a reader finds it in the store. Guards against
/// an owner that answers reads beyond its own list with "nothing yet" and so hides positions that were read.
TEST_F(JobsTest, AReadBeyondTheOwnersListMakesTheOwnerLookForTheRest)
{
    std::vector<FleetServer::Writer> held;
    addServer("s1", [&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { held.push_back(writer); });
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntil([&] { return entry.runnersHash() == runner.runnersHash() && runner.runnersHash() != 0; });
    ASSERT_EQ(ask(entry, submissionOf("j", 3))->status, 202);
    waitUntil([&] { return !held.empty(); });
    waitUntilConfirmed(runner, "j");
    Jobs::ResultSegment const late{.outcomes = {{.id = Jobs::ItemId("j-1"), .output = "late"}}};
    thread_.call([&] {
        static_cast<void>(store_->table().create(Jobs::segmentKind, Jobs::segmentObject(JobId("j"), 0), Jobs::encodeSegment(late)));
    });
    read(entry, "j", 1, 10);
    auto const page = read(entry, "j", 0, 10);
    EXPECT_EQ(page.at("results").as_array().size(), 1U) << json::serialize(page);
    thread_.call([&] { held.clear(); });
}

/// Guards against a job that is never run because the record of its failures cannot be read.
TEST_F(JobsTest, AJobWhoseFailureRecordCannotBeReadIsRun)
{
    addServer("s1", complete);
    for (auto const &kind : {Jobs::failureKind, Jobs::unansweredKind})
        thread_.call([&] { store_->put(kind.value(), "j", R"({"tenures":[]})"); });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    ASSERT_EQ(ask(entry, submissionOf("j", 2))->status, 202);
    EXPECT_EQ(readResults(entry, "j", 2).size(), 2U);
}

/// The store applies a segment and its responses are lost. Guards against an owner that answers "nothing yet" while others read the segment
/// from the store.
TEST_F(JobsTest, ASegmentWhoseStoringHasAnUnknownOutcomeIsNotHidden)
{
    std::atomic<bool> holds = true;
    std::vector<FleetServer::Writer> held;
    addServer("s1", [&](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (!holds)
            return complete(number, request, writer);
        held.push_back(writer);
    });
    auto &entry = startNode("entry-1");
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    waitUntil([&] { return entry.runnersHash() == runner.runnersHash() && runner.runnersHash() != 0; });
    ASSERT_EQ(ask(entry, submissionOf("j", 1))->status, 202);
    waitUntil([&] { return !held.empty(); });
    waitUntilConfirmed(runner, "j");
    thread_.call([&] { store_->faults().setFaults({.loseAnswerShare = 1}); });
    // The item is sent again once the server has kept it waiting for too long.
    holds = false;
    waitUntil([&] { return store_->table().get(Jobs::segmentKind, Jobs::segmentObject(JobId("j"), 0)).has_value(); });
    auto const page = read(entry, "j", 0, 10);
    EXPECT_EQ(page.at("results").as_array().size(), 1U) << json::serialize(page);
    thread_.call([&] { held.clear(); });
}

/// A desired state lowers the limit of waiting tokens below the size of a job that is stored. Guards against refusing its repeat, after
/// which the caller would consider the job as not accepted.
TEST_F(JobsTest, ARepeatOfAStoredJobIsAcknowledgedUnderALowerLimit)
{
    auto &first = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(first);
    while (ask(first, submissionOf("a", 1, 60'000))->status != 202)
        ;
    putState(2, "", 50'000);
    auto &second = startNode("entry-2");
    waitUntilReady(second);
    EXPECT_EQ(ask(second, submissionOf("a", 1, 60'000))->status, 202);
    EXPECT_EQ(ask(second, submissionOf("b", 1, 60'000))->status, 429);
}

/// After a restart of all runners, each one lists all jobs while the store is busy. Guards against jobs that wait until the last page of
/// the list has arrived.
TEST_F(JobsTest, JobsOfTheFirstPageRunBeforeTheListIsComplete)
{
    addServer("s1", complete);
    thread_.call([&] {
        store_->setPageSize(1);
        store_->setFurtherPagesSilent(true);
        for (auto const *const job : {"a", "b"}) {
            Jobs::JobRecord const record{
                .id = JobId(job),
                .host = "h.example",
                .acceptedAt = readClocks().wall,
                .items = {{.id = Jobs::ItemId(std::string(job) + "-0"), .target = "/b/x/0", .body = "hello", .tokens = 1}}};
            static_cast<void>(store_->table().create(Jobs::jobKind, Jobs::jobObject(record.id), Jobs::encodeJob(record).spec));
        }
    });
    startNode("runner-1", InstanceRole::Runner);
    waitUntil([&] { return store_->table().get(Jobs::segmentKind, Jobs::segmentObject(JobId("a"), 0)).has_value(); });
}

/// Guards against lists that take seconds without a line that shows how much was listed.
TEST_F(JobsTest, AListOfTheStoreIsLoggedWithItsExtent)
{
    std::vector<std::map<std::string, std::string>> lines;
    Observe::setLogSink([&](Observe::EventDefinition const &event, std::initializer_list<Observe::Field> fields) {
        if (event.name != Observe::Events::NodeStoreListed.name)
            return;
        auto &line = lines.emplace_back();
        for (auto const &field : fields)
            line.emplace(field.name, field.value);
    });
    thread_.call([&] {
        store_->setPageSize(1);
        for (auto const *const job : {"a", "b"})
            static_cast<void>(store_->table().create(Jobs::jobKind, Platform::ObjectName(job), "{}"));
    });
    startNode("runner-1", InstanceRole::Runner);
    auto const find = [&] {
        return std::find_if(lines.begin(), lines.end(), [](auto const &line) { return line.at("kind") == "batchjobs"; });
    };
    waitUntil([&] { return find() != lines.end(); });
    thread_.call([] { Observe::setLogSink(nullptr); });
    EXPECT_EQ(find()->at("objects"), "2");
    EXPECT_EQ(find()->at("pages"), "2");
    EXPECT_EQ(find()->at("bytes"), "4");
}
