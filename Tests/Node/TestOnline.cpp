#include "Tests/Fakes/ScriptedServer.h"
#include "Tests/LibHttp/RawConnection.h"
#include "Tests/Node/NodeFixture.h"

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <map>
#include <set>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

class OnlineTest : public NodeTest
{
protected:
    /// Starts a node and one server per script.
    Node::NodeProgram &serve(std::vector<FleetServer::Script> scripts, std::string const &extraRoutes = "")
    {
        putState(1, extraRoutes);
        for (auto &script : scripts) {
            servers_.push_back(std::make_unique<FleetServer>(thread_, std::move(script)));
            putServer("s" + std::to_string(servers_.size()), servers_.back()->address());
        }
        auto &node = startNode("entry-1");
        waitUntilReady(node);
        return node;
    }

    /// A request of the route "/q/" whose caller waits longer than the node may need to be served.
    Http::HttpRequest patientRequest()
    {
        auto request = requestOf("/q/1", "a");
        request.headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", "a"}, {"Anvilyard-Deadline-Ms", "20000"}};
        return request;
    }

    /// Address on which nothing listens anymore.
    Address deadAddress()
    {
        return FleetServer(thread_, [](int, auto const &, auto const &) {}).address();
    }

    void waitForMetric(Node::NodeProgram &node, std::string const &sample)
    {
        while (metricsOf(node).find("\n" + sample + "\n") == std::string::npos)
            waitUntil([] { return true; });
    }

    std::size_t requestCount() const
    {
        std::size_t count = 0;
        for (auto const &server : servers_)
            count += server->requests().size();
        return count;
    }

    std::vector<std::unique_ptr<FleetServer>> servers_;
};

/// Route "/q/": resumable streams that count as silent after 0.6 of the target, or at their last server after twice the target.
std::string streamsWithGapTarget(int milliseconds)
{
    return R"(,{"name":"q","host":"h.example","pathPrefix":"/q/","kind":"streaming","timeoutMs":20000,"sloMs":1000,"priority":0,)"
           R"("service":"p","attempts":2,"resumable":true,"gapAimMs":)"
        + std::to_string(milliseconds) + "}";
}

FleetServer::Script respondWith(std::string body)
{
    return [body = std::move(body)](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = body});
    };
}

} // namespace

TEST_F(OnlineTest, ANodeWithoutADesiredStateIsNotReadyAndSendsRetryAfter)
{
    auto &node = startNode("entry-1");
    auto const answer = ask(node, requestOf("/i/1", "a"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->headers.contains("Retry-After"));
    EXPECT_FALSE(answer->headers.contains("Anvilyard-Response-Signature"));
}

/// All processes restart at once (incident inc-0315 on kookhuur-anvil), and clients reach a node before the store has answered its first
/// lists. Guards against refusing requests that can be served some milliseconds later.
TEST_F(OnlineTest, ARequestShortlyBeforeTheFirstListsIsServed)
{
    putState(1);
    servers_.push_back(std::make_unique<FleetServer>(thread_, respondWith("pong")));
    putServer("s1", servers_.back()->address());
    thread_.call([&] { store_->faults().setFaults({.delay = 30ms}); });
    maxRequestHold_ = 20s;
    auto &node = startNode("entry-1");
    auto const answer = ask(node, requestOf("/i/1", "a"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
}

/// Guards against requests that wait for a store which does not answer.
TEST_F(OnlineTest, ARequestAtAStartDuringAStoreOutageIsRefusedSoon)
{
    thread_.call([&] { store_->faults().setFaults({.outage = OutageMode::Silent}); });
    auto &node = startNode("entry-1");
    for (auto const *const id : {"a", "b", "c"})
        EXPECT_EQ(ask(node, requestOf("/i/1", id))->status, 503);
}

TEST_F(OnlineTest, AResponseIsRelayedWithItsHeaders)
{
    auto &node = serve({respondWith("pong")});
    auto const answer = ask(node, requestOf("/i/1?x=1", "a"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "pong");
    EXPECT_EQ(answer->headers.find("Anvilyard-Response-Signature"), "sig");
    auto const seen = servers_[0]->requests().at(0);
    EXPECT_EQ(seen.target, "/i/1?x=1");
    EXPECT_EQ(seen.body, "hello");
    EXPECT_EQ(seen.headers.find("Host"), "h.example");
    EXPECT_EQ(seen.headers.find("Anvilyard-Expect-Instance"), "s1");
    EXPECT_LE(std::stoi(std::string(*seen.headers.find("Anvilyard-Deadline-Ms"))), 3000);
}

TEST_F(OnlineTest, AnUnknownPathIsNotFoundAndAMalformedHeadIsRefused)
{
    auto &node = serve({respondWith("")});
    EXPECT_EQ(ask(node, requestOf("/nowhere/1", "a"))->status, 404);
    auto request = requestOf("/i/1", "a");
    request.headers.remove("Anvilyard-Attempt-Id");
    EXPECT_EQ(ask(node, std::move(request))->status, 400);
    EXPECT_EQ(requestCount(), 0U);
}

/// Guards against ending a broken stream as if it were complete, and against a resume without the last event id.
TEST_F(OnlineTest, AStreamThatBreaksWithinAnEventIsResumedAtAnotherServer)
{
    FleetServer::Script const script = [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (request.headers.contains("Last-Event-Id"))
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        // The connection is aborted once the bytes are sent.
        writer->write(eventTexts(0, 4) + "id: 4\nda", [writer](auto) { writer->abort(); });
    };
    auto &node = serve({script, script});
    auto const answer = ask(node, requestOf("/s/1", "a"));
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
    ASSERT_EQ(requestCount(), 2U);
    EXPECT_EQ(servers_[0]->requests().size(), 1U) << "the second attempt goes to the other server";
}

/// A server crashes within the first event of a stream, and the request is sent again. Guards against relaying the part joined with the
/// first event of the next attempt.
TEST_F(OnlineTest, AFirstEventCutShortIsNotJoinedWithTheNextAttempt)
{
    std::map<std::string, std::string> const partByRequest{
        {"cut-in-id", "i"}, {"cut-after-id", "id: 0\n"}, {"cut-in-data", "id: 0\ndata: t"}, {"cut-before-the-end", "id: 0\ndata: t0\n"}};
    std::map<std::string, int> sends;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        auto const id = std::string(request.headers.find("Anvilyard-Attempt-Id").value_or(""));
        if (++sends[id] > 1)
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(partByRequest.at(id), [writer](auto) { writer->abort(); });
    };
    auto &node = serve({script, script});
    for (auto const &[id, part] : partByRequest) {
        auto const answer = ask(node, requestOf("/s/1", id));
        ASSERT_TRUE(answer) << id << ": " << answer.error().error.toString();
        EXPECT_EQ(answer->body, eventTexts(0, 10)) << id;
    }
}

/// All entries restart, callers resume their streams with the id of the last event they have, and a server crashes within the first event
/// that it sends. Guards against relaying the part joined with the next attempt's first event.
TEST_F(OnlineTest, AFirstEventCutShortAfterAResumeByTheCallerIsNotJoinedWithTheNextAttempt)
{
    int sends = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (++sends > 1)
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write("id: 5\ndata: t", [writer](auto) { writer->abort(); });
    };
    auto &node = serve({script, script});
    auto request = requestOf("/s/1", "a");
    request.headers.set("Last-Event-Id", "4");
    auto const answer = ask(node, std::move(request));
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(5, 10));
}

/// As above, on a reused connection, where the same server gets the request again. Guards against a fix of one kind of retry only.
TEST_F(OnlineTest, AFirstEventCutShortOnAReusedConnectionIsNotJoinedWithTheNextAttempt)
{
    std::map<std::string, int> sends;
    auto &node = serve({[&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        auto const id = std::string(request.headers.find("Anvilyard-Attempt-Id").value_or(""));
        if (++sends[id] > 1 || id == "warm-up")
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write("id: 0\nda", [writer](auto) { writer->abort(); });
    }});
    ASSERT_TRUE(ask(node, requestOf("/s/1", "warm-up")));
    auto const answer = ask(node, requestOf("/s/1", "a"));
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
    EXPECT_EQ(requestCount(), 3U);
}

/// A server skips an event in the middle of a stream. Guards against giving the stream up although another server has the missing event.
TEST_F(OnlineTest, AGapInOneServersEventsIsFilledByAnother)
{
    int sends = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (++sends > 1)
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 4) + eventTexts(5, 10), nullptr);
        writer->finish();
    };
    auto &node = serve({script, script});
    auto const answer = ask(node, requestOf("/s/1", "a"));
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
}

/// A server sends a comment to keep its connection alive and breaks off before its first event. Guards against giving the stream up
/// although the caller has nothing of it.
TEST_F(OnlineTest, AStreamThatBreaksAfterACommentIsSentAgain)
{
    int sends = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (++sends > 1)
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(": alive\n\n", [writer](auto) { writer->abort(); });
    };
    auto &node = serve({script, script});
    auto const answer = ask(node, requestOf("/s/1", "a"));
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, ": alive\n\n" + eventTexts(0, 10));
}

/// A server crashes after the head of a response without a length, which then looks complete. Guards against relaying an empty stream.
TEST_F(OnlineTest, AStreamWithoutEventsIsNotEndedAsComplete)
{
    int sends = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (++sends == 2)
            return answerEvents(request, writer, 10);
        writer->respond({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
    };
    auto &node = serve({script, script});
    EXPECT_EQ(ask(node, requestOf("/s/1", "a"))->body, eventTexts(0, 10));
    EXPECT_EQ(ask(node, requestOf("/o/1", "b"))->status, 502) << "a stream that runs once is not sent again";
    EXPECT_EQ(sends, 3);
}

TEST_F(OnlineTest, ANonResumableStreamThatBreaksIsNotEndedAsComplete)
{
    auto &node = serve({[](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 4), [writer](auto) { writer->abort(); });
    }});
    EXPECT_FALSE(ask(node, requestOf("/o/1", "a")));
    EXPECT_EQ(requestCount(), 1U);
}

/// Guards against retrying a non-idempotent request whose response was lost, and against refusing it as not run.
TEST_F(OnlineTest, ANonIdempotentRequestIsSentOnceAndItsLostResponseIsOutcomeUnknown)
{
    FleetServer::Script const lose = [](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { writer->abort(); };
    auto &node = serve({lose, lose});
    EXPECT_EQ(ask(node, requestOf("/u/1", "a"))->status, 502);
    EXPECT_EQ(requestCount(), 1U);
    EXPECT_EQ(ask(node, requestOf("/i/1", "b"))->status, 502);
    EXPECT_EQ(requestCount(), 3U) << "an idempotent request is tried at both servers";
}

TEST_F(OnlineTest, ARequestThatAServerDidNotRunIsRetriedElsewhere)
{
    FleetServer::Script const shedFirst = [](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (number == 1)
            return writer->respond({.status = 503, .headers = {{"Anvilyard-Not-Executed", "1"}}});
        respondWith("x")(number, request, writer);
    };
    auto &node = serve({shedFirst, respondWith("x")});
    for (auto const *const id : {"a", "b", "c", "d"})
        EXPECT_EQ(ask(node, requestOf("/u/1", id))->status, 200);
}

TEST_F(OnlineTest, ARequestThatNoServerRanIsRefusedAsNotRun)
{
    FleetServer::Script const shed = [](int, Http::HttpRequest const &, FleetServer::Writer const &writer) {
        writer->respond({.status = 503, .headers = {{"Anvilyard-Not-Executed", "1"}}});
    };
    auto &node = serve({shed, shed});
    auto const answer = ask(node, requestOf("/u/1", "a"));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->headers.contains("Retry-After"));
    EXPECT_EQ(requestCount(), 2U);
}

/// Guards against relaying a server's 429 or 503 unchanged: the caller would conclude that the request did not run.
TEST_F(OnlineTest, ANotRunStatusIsNotRelayedUnlessTheServerStatesIt)
{
    for (auto const status : {429, 503}) {
        SCOPED_TRACE(status);
        servers_.clear();
        auto &node = serve({[status](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
            writer->respond({.status = status, .headers = signedHeaders(request, "text/plain")});
        }});
        auto const answer = ask(node, requestOf("/u/1", "a"));
        EXPECT_EQ(answer->status, 502);
        EXPECT_FALSE(answer->headers.contains("Anvilyard-Response-Signature"));
        killNode("entry-1");
    }
}

TEST_F(OnlineTest, AnErrorResponseOfAServerIsRelayedUnchanged)
{
    auto &node = serve({[](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->respond({.status = 418, .headers = signedHeaders(request, "text/plain"), .body = "teapot"});
    }});
    auto const answer = ask(node, requestOf("/i/1", "a"));
    EXPECT_EQ(answer->status, 418);
    EXPECT_EQ(answer->body, "teapot");
    EXPECT_EQ(answer->headers.find("Anvilyard-Response-Signature"), "sig");
}

/// Guards against relaying a success that carries no signature or is encoded, which thus does not come unaltered from the server.
TEST_F(OnlineTest, AnUnsignedOrEncodedSuccessIsRetriedElsewhere)
{
    for (auto const &headers : {Http::Headers{{"Content-Type", "text/plain"}},
                                Http::Headers{{"Anvilyard-Response-Signature", "sig"}, {"Content-Encoding", "gzip"}}}) {
        servers_.clear();
        FleetServer::Script const spoil = [headers](int, Http::HttpRequest const &, FleetServer::Writer const &writer) {
            writer->respond({.status = 200, .headers = headers, .body = "spoiled"});
        };
        auto &node = serve({spoil, spoil});
        EXPECT_EQ(ask(node, requestOf("/i/1", "a"))->status, 502);
        EXPECT_EQ(requestCount(), 2U);
        killNode("entry-1");
    }
}

/// A server sends an extra response to an earlier request before the response to the next one. Guards against ignoring the request
/// id in the response head.
TEST_F(OnlineTest, AnExtraResponseToAnEarlierRequestIsDiscarded)
{
    putState(1);
    std::unique_ptr<ScriptedServer> scripted;
    auto const answer = [](std::string const &id, std::string const &body) {
        return "HTTP/1.1 200 OK\r\nAnvilyard-Response-Signature: s\r\nAnvilyard-Attempt-Id: " + id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    thread_.call([&] {
        scripted = ScriptedServer::create(thread_.loop(), [&](ScriptedServer::Connection &connection, std::size_t request) {
            if (request == 0)
                return connection.send(answer("a", "first"));
            connection.send(answer("a", "extra"));
            connection.send(answer("b", "second"));
        });
    });
    putServer("s1", scripted->address());
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    EXPECT_EQ(ask(node, requestOf("/i/1", "a"))->body, "first");
    EXPECT_EQ(ask(node, requestOf("/i/1", "b"))->body, "second");
    thread_.call([&] { scripted.reset(); });
}

TEST_F(OnlineTest, ABodyEndedByConnectionCloseIsComplete)
{
    putState(1);
    std::unique_ptr<ScriptedServer> scripted;
    thread_.call([&] {
        scripted = ScriptedServer::create(thread_.loop(), [&](ScriptedServer::Connection &connection, std::size_t) {
            connection.send("HTTP/1.1 200 OK\r\nAnvilyard-Response-Signature: s\r\nAnvilyard-Attempt-Id: a\r\n\r\nwhole");
            connection.close();
        });
    });
    putServer("s1", scripted->address());
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    EXPECT_EQ(ask(node, requestOf("/u/1", "a"))->body, "whole");
    thread_.call([&] { scripted.reset(); });
}

TEST_F(OnlineTest, ACallerDisconnectCancelsItsRequestAtTheServer)
{
    std::promise<void> arrived;
    std::promise<void> gone;
    auto &node = serve({[&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) {
        // The writer is kept until the connection closes, as by a server that still works on the request.
        writer->onCallerGone([&gone, writer] { gone.set_value(); });
        arrived.set_value();
    }});
    std::shared_ptr<Http::Exchange> exchange;
    thread_.call([&] {
        exchange =
            client_->send({.server = node.callerAddress(), .request = requestOf("/s/1", "a"), .deadline = readLocalClock() + 20s}, {});
    });
    arrived.get_future().wait();
    thread_.call([&] { exchange->cancel(); });
    gone.get_future().wait();
}

TEST_F(OnlineTest, ARequestWithoutAResponseEndsAtItsDeadline)
{
    std::vector<FleetServer::Writer> held;
    auto &node = serve({[&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { held.push_back(writer); }});
    auto request = requestOf("/u/1", "a");
    request.headers.set("Anvilyard-Deadline-Ms", "300");
    EXPECT_EQ(ask(node, std::move(request))->status, 504);
    thread_.call([&] { held.clear(); });
}

/// The caller would wait much longer than the route allows. Guards against a deadline that ignores the route's timeout.
TEST_F(OnlineTest, ARequestWithoutAResponseEndsAtItsRoutesTimeout)
{
    std::vector<FleetServer::Writer> held;
    std::string const shortRoute =
        R"(,{"name":"t","host":"h.example","pathPrefix":"/t/","kind":"non_idempotent","timeoutMs":300,"sloMs":100,"priority":0,)"
        R"("service":"p","attempts":2})";
    auto &node = serve({[&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { held.push_back(writer); }}, shortRoute);
    auto request = requestOf("/t/1", "a");
    request.headers.set("Anvilyard-Deadline-Ms", "15000");
    auto const sentAt = readLocalClock();
    EXPECT_EQ(ask(node, std::move(request))->status, 504);
    auto const waited = readLocalClock() - sentAt;
    EXPECT_GE(waited, 300ms);
    EXPECT_LT(waited, 10s);
    EXPECT_EQ(requestCount(), 1U);
    thread_.call([&] { held.clear(); });
}

/// A server states in a response of any kind that it is leaving; its registration still says ready. Guards against sending it requests for
/// as long as its registration lags.
TEST_F(OnlineTest, AServerThatStatesThatItLeavesGetsNoNewRequests)
{
    enum class Kind {
        Response,
        Stream,
        Rejection,
    };
    for (auto const kind : {Kind::Response, Kind::Stream, Kind::Rejection}) {
        SCOPED_TRACE(static_cast<int>(kind));
        servers_.clear();
        auto &node = serve({[kind](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
                                auto headers = signedHeaders(request, kind == Kind::Stream ? "text/event-stream" : "text/plain");
                                headers.set("Server-Leaving", "1");
                                if (kind == Kind::Rejection)
                                    headers.set("Anvilyard-Not-Executed", "1");
                                writer->respond({.status = kind == Kind::Rejection ? 503 : 200,
                                                 .headers = std::move(headers),
                                                 .body = kind == Kind::Stream ? eventTexts(0, 10) : "pong"});
                            },
                            [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
                                if (request.target.starts_with("/s/"))
                                    return answerEvents(request, writer, 10);
                                respondWith("pong")(0, request, writer);
                            }});
        auto const target = kind == Kind::Stream ? "/s/1" : "/i/1";
        // Enough requests at once that each server gets some of them.
        auto const sendMany = [&](std::string const &prefix) {
            std::vector<std::future<Answer>> answers;
            for (int number = 0; number < 20; ++number)
                answers.push_back(sendTo(node, requestOf(target, prefix + std::to_string(number))));
            for (auto &answer : answers)
                EXPECT_EQ(answer.get()->status, 200);
        };
        sendMany("a");
        auto const sent = servers_[0]->requests().size();
        EXPECT_GE(sent, 1U);
        sendMany("b");
        EXPECT_EQ(servers_[0]->requests().size(), sent);
        killNode("entry-1");
    }
}

TEST_F(OnlineTest, ADrainingServerGetsNoRequestsWhileAnotherIsReady)
{
    auto &node = serve({respondWith("1"), respondWith("2")});
    putServer("s1", servers_[0]->address(), "draining");
    // The change takes effect once the node's watch has returned it. Until then either server may respond.
    waitUntil([&] { return store_->calls().at("GET servers") >= 3; });
    auto const before = servers_[0]->requests().size();
    for (int count = 0; count < 10; ++count)
        EXPECT_EQ(ask(node, requestOf("/i/1", std::to_string(count)))->status, 200);
    EXPECT_EQ(servers_[0]->requests().size(), before);
}

TEST_F(OnlineTest, ANewerDesiredStateIsAppliedAndAnOlderOneIsIgnored)
{
    auto &node = serve({respondWith("x")});
    EXPECT_EQ(ask(node, requestOf("/new/1", "a"))->status, 404);
    std::string const extra =
        R"(,{"name":"new","host":"h.example","pathPrefix":"/new/","kind":"idempotent","timeoutMs":3000,"sloMs":1000,"service":"p","attempts":1})";
    putState(5, extra);
    waitUntil([&] { return store_->calls().at("GET config") >= 3; });
    EXPECT_EQ(ask(node, requestOf("/new/1", "b"))->status, 200);
    putState(4);
    waitUntil([&] { return store_->calls().at("GET config") >= 4; });
    EXPECT_EQ(ask(node, requestOf("/new/1", "c"))->status, 200);
}

/// Guards against a node that cannot become ready during an outage of the platform although a peer has the data.
TEST_F(OnlineTest, ANodeThatStartsDuringAStoreOutageSyncsFromAPeer)
{
    serve({respondWith("x")});
    auto &restarted = startNode("entry-2");
    waitUntilReady(restarted);
    killNode("entry-2");
    // The restarted node has a new address that the first node does not have yet. It registers before the outage begins.
    auto &again = startNode("entry-2");
    waitUntil([&] {
        auto const registration = store_->table().get(Platform::Kind("instances"), Platform::ObjectName("entry-2"));
        return registration && registration->spec.find(again.peerAddress().value()) != std::string::npos;
    });
    thread_.call([&] { store_->faults().setFaults({.outage = OutageMode::Refuse}); });
    waitUntilReady(again);
    EXPECT_EQ(ask(again, requestOf("/i/1", "a"))->status, 200);
}

/// The store loses the responses to the watches while they wait, as when it is silent for a moment after a change. Guards against a desired
/// state and a list of servers that stay in force for as long as the store may hold a watch.
TEST_F(OnlineTest, ChangesAreFollowedWhenTheStoreLostItsWatches)
{
    // The platform's bound for instances that reach the store again.
    constexpr Duration ContactTime = 3s;
    watchHoldTime_ = Adapter::FleetStoreOptions{.loop = thread_.loop(), .platform = store_->address()}.watchHoldTime;
    servers_.push_back(std::make_unique<FleetServer>(thread_, respondWith("pong")));
    putState(1);
    auto &node = startNode("entry-1");
    auto const kinds = {Platform::Kind("config"), Platform::Kind("servers")};
    for (auto const &kind : kinds) {
        waitUntil([&] { return store_->pendingWatches(kind) == 1; });
        thread_.call([&] { store_->silenceWatches(kind); });
    }
    putState(2, streamsWithGapTarget(1000));
    putServer("s1", servers_.back()->address());
    auto const changedAt = readLocalClock();
    while (ask(node, requestOf("/q/1", "a"))->status == 404 || ask(node, requestOf("/i/1", "a"))->status != 200)
        ASSERT_LT(readLocalClock() - changedAt, ContactTime);
    EXPECT_LT(readLocalClock() - changedAt, ContactTime);
}

/// In a large fleet relays watch the store for the others, which request the changes since their own revision. Guards against a
/// complete list for each change and against a removed server that stays in use.
TEST_F(OnlineTest, APeerReceivesOnlyTheChangesSinceItsRevision)
{
    auto &node = serve({respondWith("x"), respondWith("x"), respondWith("x")});
    auto const fetch = [&](std::string const &query) {
        auto const address = thread_.call([&] { return node.peerAddress(); });
        auto const answer = sendTo(address, {.method = "GET", .target = "/fleet" + query, .headers = {{"Host", address.value()}}}).get();
        EXPECT_EQ(answer->status, 200);
        return boost::json::parse(answer->body).as_object();
    };
    auto const all = fetch("");
    EXPECT_TRUE(all.at("complete").as_bool());
    EXPECT_EQ(all.at("servers").as_array().size(), 3U);
    EXPECT_FALSE(all.at("state").as_string().empty());
    auto const since = "?state=1&since=" + std::to_string(all.at("revision").to_number<std::uint64_t>());
    EXPECT_TRUE(fetch(since).at("state").as_string().empty());
    thread_.call([&] { store_->remove("servers", "s1"); });
    putServer("s2", servers_[1]->address(), "draining");
    putState(2);
    boost::json::object changes;
    do
        changes = fetch(since);
    while (changes.at("servers").as_array().empty() || changes.at("removed").as_array().empty() || changes.at("state").as_string().empty());
    EXPECT_FALSE(changes.at("complete").as_bool());
    ASSERT_EQ(changes.at("servers").as_array().size(), 1U);
    EXPECT_EQ(changes.at("servers").as_array()[0].as_array()[0].as_string(), "s2");
    ASSERT_EQ(changes.at("removed").as_array().size(), 1U);
    EXPECT_EQ(changes.at("removed").as_array()[0].as_array()[0].as_string(), "s1");
}

/// A node applies the removal of a server from a peer, and its own watch returns the same removal later. Guards against counting it twice:
/// the node's revision would exceed the store's, and the next server to register would be ignored as outdated.
TEST_F(OnlineTest, ARemovalThatAPeerReportedFirstDoesNotHideTheNextServer)
{
    watchPacing_ = {{protocol_.records().serverKind, {.minPause = 1500ms, .maxPause = 1500ms}}};
    std::uint64_t removedAt = 0;
    FleetServer peer(thread_, [&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) {
        boost::json::object const changes{{"state", ""},
                                          {"revision", removedAt},
                                          {"complete", true},
                                          {"servers", boost::json::array{}},
                                          {"removed", boost::json::array{}}};
        writer->respond({.status = 200, .body = boost::json::serialize(changes)});
    });
    auto &node = serve({respondWith("x")});
    auto const serversOf = [&] {
        auto const address = thread_.call([&] { return node.peerAddress(); });
        auto const answer = sendTo(address, {.method = "GET", .target = "/fleet", .headers = {{"Host", address.value()}}}).get();
        return answer->body;
    };
    // The first change ends the watch, and the removal comes during the pause that follows.
    putServer("s1", servers_[0]->address(), "draining");
    while (serversOf().find("draining") == std::string::npos) { }
    thread_.call([&] {
        store_->remove("servers", "s1");
        removedAt = store_->table().revision();
    });
    Serving::PeerReport report{
        .sender = InstanceId("peer"), .startedAt = 1, .address = peer.address(), .serversRevision = Serving::StoreRevision(removedAt)};
    while (serversOf().find("s1") != std::string::npos) {
        ++report.number;
        thread_.call([&] {
            auto const socket = Node::DatagramSocket::open(thread_.loop(), Address("127.0.0.1:0"), [](auto) {});
            (*socket)->send(node.peerAddress(), Serving::encodePeerReport(report));
        });
    }
    auto const watches = thread_.call([&] { return store_->calls().at("GET servers"); });
    waitUntil([&] { return store_->calls().at("GET servers") > watches + 1; });
    putServer("s2", servers_[0]->address());
    while (serversOf().find("s2") == std::string::npos) { }
}

TEST_F(OnlineTest, AStoppingNodeFinishesItsRequestsAndIsNotReady)
{
    std::promise<FleetServer::Writer> arrived;
    Http::HttpRequest seen;
    auto &node = serve({[&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        seen = request;
        arrived.set_value(writer);
    }});
    auto answer = sendTo(node, requestOf("/u/1", "a"));
    auto const writer = arrived.get_future().get();
    thread_.call([&] { node.stop(); });
    EXPECT_FALSE(thread_.call([&] { return node.isReady(); }));
    thread_.call([&] { writer->respond({.status = 200, .headers = signedHeaders(seen, "text/plain"), .body = "done"}); });
    auto const response = answer.get();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "done");
    EXPECT_EQ(response->headers.find("Connection"), "close");
}

/// Guards against a stopping entry that accepts connections until it exits. During a rolling restart of all entries (coldline-kr
/// trouble-2) the balancer kept sending requests to a stopping entry, which accepted one shortly before its stop timeout and
/// aborted it.
TEST_F(OnlineTest, AStoppingNodeAcceptsNoRequestItCouldNotFinish)
{
    std::promise<FleetServer::Writer> arrived;
    auto &node = serve({[&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { arrived.set_value(writer); }});
    auto held = sendTo(node, requestOf("/u/1", "held"));
    auto const writer = arrived.get_future().get();
    thread_.call([&] { node.stop(); });
    // While the node waits for its open request, it stops accepting others.
    int taken = 0;
    for (int count = 0; ask(node, requestOf("/nowhere/1", std::to_string(count))); ++count)
        ++taken;
    EXPECT_GT(taken, 0);
    EXPECT_FALSE(stopped("entry-1"));
    thread_.call([&] { writer->abort(); });
    EXPECT_EQ(held.get()->status, 502);
    waitUntil([&] { return stopped("entry-1"); });
}

/// Guards against a stopping entry that exits although it has read a part of a request. On a slow machine the rest of the request and the
/// check for the exit are due at the same time, and the caller gets no response.
TEST_F(OnlineTest, AStoppingNodeAnswersARequestThatItHasBegunToRead)
{
    auto &node = serve({respondWith("done")});
    auto const address = thread_.call([&] { return node.callerAddress(); });
    RawConnection caller(address);
    caller.send("POST /u/1 HTTP/1.1\r\nHost: h.example\r\nAnvilyard-Attempt-Id: a\r\nContent-Length: 5\r\n\r\nhel");
    thread_.call([&] { node.stop(); });
    // The node considers its exit from the moment at which it accepts no connections any more.
    for (int count = 0; ask(node, requestOf("/nowhere/1", std::to_string(count))); ++count)
        continue;
    EXPECT_FALSE(stopped("entry-1"));
    caller.send("lo");
    EXPECT_THAT(caller.readAll(), ::testing::EndsWith("done"));
    waitUntil([&] { return stopped("entry-1"); });
}

/// Guards against requests whose end comes late in the stop of an entry, which passes them on and cuts them as it exits.
TEST_F(OnlineTest, AStoppingNodeAnswersRequestsThatComeLate)
{
    auto &node = serve({[](int, Http::HttpRequest const &, FleetServer::Writer const &writer) {
        // Never responds.
        static std::vector<FleetServer::Writer> held;
        held.push_back(writer);
    }});
    auto const address = thread_.call([&] { return node.callerAddress(); });
    std::string const head = " HTTP/1.1\r\nHost: h.example\r\nAnvilyard-Attempt-Id: a\r\nContent-Length: 5\r\n\r\nhel";
    RawConnection soon(address);
    RawConnection late(address);
    soon.send("POST /u/1" + head);
    late.send("POST /u/2" + head);
    thread_.call([&] {
        auto settings = Node::NodeSettings();
        settings.stopTimeout = 4s;
        node.applySettings(settings);
        node.stop();
    });
    soon.send("lo");
    // The node considers its exit from the moment at which it accepts no connections any more.
    for (int count = 0; ask(node, requestOf("/nowhere/1", std::to_string(count))); ++count)
        continue;
    late.send("lo");
    EXPECT_THAT(late.readAll(), ::testing::StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(soon.readAll(), ::testing::StartsWith("HTTP/1.1 50")) << "its server may have run it";
    EXPECT_EQ(requestCount(), 1U) << "a 503 says that the request did not run";
    waitUntil([&] { return stopped("entry-1"); });
}

/// Servers are out of reach, and the other entry is of a build that does not know requests which are passed on. Guards against its 404 as
/// an answer to the caller.
TEST_F(OnlineTest, AnErrorOfAnInstanceThatCannotHelpIsNoAnswer)
{
    FleetServer other(thread_, [](int, auto const &, FleetServer::Writer const &writer) { writer->respond({.status = 404}); });
    thread_.call(
        [&] { store_->put("instances", "entry-2", R"({"address":")" + other.address().value() + R"(","role":"entry","dc":"dc"})"); });
    putState(1);
    for (auto const *server : {"s1", "s2", "s3", "s4"})
        putServer(server, deadAddress());
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    std::map<int, std::size_t> statuses;
    for (int number = 0; number < 40; ++number)
        ++statuses[ask(node, requestOf(number % 2 == 0 ? "/i/1" : "/s/1", std::to_string(number)))->status];
    EXPECT_EQ(statuses[404], 0U);
    EXPECT_EQ(statuses[503], 40U);
    EXPECT_FALSE(other.requests().empty()) << "it was asked";
}

/// A stream had begun and broke off; the next server answers with an error. Guards against the error's text, or a complete end, in the
/// stream.
TEST_F(OnlineTest, AnErrorResponseToAResumeIsNotPartOfTheStream)
{
    FleetServer::Script const script = [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (request.headers.contains("Last-Event-Id"))
            return writer->respond(
                {.status = 500, .headers = signedHeaders(request, "text/event-stream"), .body = "id: 4\ndata: fault\n\n"});
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 4), [writer](auto) { writer->abort(); });
    };
    auto &node = serve({script, script});
    RawConnection caller(thread_.call([&] { return node.callerAddress(); }));
    caller.send("POST /s/1 HTTP/1.1\r\nHost: h.example\r\nAnvilyard-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n");
    auto const text = caller.readAll();
    EXPECT_THAT(text, ::testing::HasSubstr("t3"));
    EXPECT_THAT(text, ::testing::Not(::testing::HasSubstr("fault")));
    EXPECT_THAT(text, ::testing::Not(::testing::HasSubstr("HTTP/1.1 500")));
    EXPECT_THAT(text, ::testing::Not(::testing::EndsWith("0\r\n\r\n"))) << "the stream is not complete";
}

/// A server ends within the head of its response. Guards against a success with an empty or short body.
TEST_F(OnlineTest, AHeadThatBreaksOffIsNoResponse)
{
    std::string head;
    auto server = thread_.call([&] {
        return ScriptedServer::create(thread_.loop(), [&head](ScriptedServer::Connection &connection, std::size_t) {
            connection.send(head);
            connection.close();
        });
    });
    putState(1);
    putServer("s1", server->address());
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    for (std::string const text : {"HTTP/1.1 200 OK\r\n",
                                   "HTTP/1.1 200 OK\r\nAnvilyard-Response-Signature: sig\r\nAnvilyard-Att",
                                   "HTTP/1.1 200 OK\r\nAnvilyard-Response-Signature: sig\r\nContent-Length: 5\r\n",
                                   "HTTP/1.1 200 OK\r\nAnvilyard-Response-Signature: sig\r\nContent-Type: text/event-stream\r\n"}) {
        thread_.call([&] { head = text; });
        for (auto const *path : {"/u/1", "/i/1", "/s/1", "/o/1"}) {
            auto const answer = ask(node, requestOf(path, "a"));
            ASSERT_TRUE(answer) << path << " " << text;
            EXPECT_GE(answer->status, 500) << path << " " << text;
        }
    }
    thread_.call([&] { server.reset(); });
}

/// One of two servers sends responses whose status is none. Guards against passing such a response on to the caller.
TEST_F(OnlineTest, AResponseWithoutAValidStatusIsNoResponse)
{
    std::string status;
    auto const faulty = thread_.call([&] {
        return ScriptedServer::create(thread_.loop(), [&status](ScriptedServer::Connection &connection, std::size_t) {
            auto const head = connection.head().starts_with("GET") ? "200" : status;
            connection.send("HTTP/1.1 " + head + " X\r\nAnvilyard-Response-Signature: sig\r\nContent-Length: 6\r\n\r\nfaulty");
        });
    });
    putServer("s2", faulty->address());
    auto &node = serve({[](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (request.target.starts_with("/s/"))
            return answerEvents(request, writer, 3);
        writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = "pong"});
    }});
    for (std::string const text : {"000", "001", "042", "099", "600", "999"}) {
        thread_.call([&] { status = text; });
        for (int number = 0; number < 6; ++number) {
            EXPECT_EQ(ask(node, requestOf("/i/1", text + std::to_string(number)))->body, "pong") << text;
            EXPECT_EQ(ask(node, requestOf("/s/1", text + std::to_string(number)))->body, eventTexts(0, 3)) << text;
            auto const once = ask(node, requestOf("/u/1", text + std::to_string(number)));
            EXPECT_TRUE(once->status == 200 || once->status == 502) << text << ": " << once->status;
            EXPECT_NE(once->body, "faulty") << text;
        }
    }
}

/// A server states in a response that is no response that it did not run the request. Guards against passing that promise on, or relying on
/// it to send the request again.
TEST_F(OnlineTest, APromiseInAnInvalidResponsePromisesNothing)
{
    std::string head;
    int runs = 0;
    auto const faulty = thread_.call([&] {
        return ScriptedServer::create(thread_.loop(), [&](ScriptedServer::Connection &connection, std::size_t) {
            if (connection.head().starts_with("GET"))
                return connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            ++runs;
            connection.send(head);
            connection.close();
        });
    });
    putState(1);
    for (auto const *const id : {"s1", "s2"})
        putServer(id, faulty->address());
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    std::string const promise = "Anvilyard-Not-Executed: 1\r\n";
    for (auto const &text : {"HTTP/1.1 000 X\r\n" + promise + "Content-Length: 0\r\n\r\n",
                             "HTTP/1.1 999 X\r\n" + promise + "Content-Length: 0\r\n\r\n",
                             "HTTP/1.1 503 X\r\n" + promise + "A B: c\r\nContent-Length: 0\r\n\r\n",
                             "HTTP/1.1 503 X\r\n" + promise + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                             "HTTP/1.1 503 X\r\n" + promise + "Content-Length: 9\r\n\r\nbroken",
                             std::string("HTTP/1.1 421 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")}) {
        thread_.call([&] {
            head = text;
            runs = 0;
        });
        EXPECT_EQ(ask(node, requestOf("/u/1", "a"))->status, 502) << text;
        EXPECT_EQ(thread_.call([&] { return runs; }), 1) << text;
    }
}

/// Both servers are slow to start requests but seem to have free slots, as at a load peak for which batch items have not been
/// preempted yet. Guards against requests that lose their place at one server to queue again at the other, or that are refused
/// although their server still works on them.
TEST_F(OnlineTest, AtPeakLoadFewRequestsAreMovedOffASlowServer)
{
    std::vector<std::unique_ptr<Http::Timer>> timers;
    auto const slow = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        timers.push_back(thread_.loop().at(readLocalClock() + 900ms, [request, writer] {
            writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = "late"});
        }));
    };
    putState(1);
    for (int number = 1; number <= 2; ++number) {
        servers_.push_back(std::make_unique<FleetServer>(thread_, slow));
        putServer("s" + std::to_string(number), servers_.back()->address(), "ready", 100);
    }
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    constexpr std::size_t Requests = 40;
    std::vector<std::future<Answer>> answers;
    for (std::size_t number = 0; number < Requests; ++number)
        answers.push_back(sendTo(node, requestOf("/i/1", "a" + std::to_string(number))));
    for (auto &answer : answers) {
        auto const served = answer.get();
        ASSERT_TRUE(served);
        EXPECT_EQ(served->status, 200);
    }
    // The budget's maximum of 10, a tenth of the requests, and the accrual of one second.
    EXPECT_LE(requestCount(), Requests + 10 + Requests / 10 + 1);
    thread_.call([&] { timers.clear(); });
}

/// A stream breaks at its second server as well, and its route allows two. Guards against a resume at a third server, which would run
/// the request more often than the operator allows.
TEST_F(OnlineTest, AStreamThatBreaksTwiceIsResumedOnlyAtAServerThatRanIt)
{
    FleetServer::Script const script = [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        auto const last = request.headers.find("Last-Event-Id");
        auto const next = last ? std::stoull(std::string(*last)) + 1 : 0;
        if (next >= 6)
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(next, next + 3), [writer](auto) { writer->abort(); });
    };
    auto &node = serve({script, script, script, script, script});
    // Concurrent requests make the server of a broken stream busier than the others, so that it is not the first choice.
    std::vector<std::future<Answer>> answers;
    for (int number = 0; number < 20; ++number)
        answers.push_back(sendTo(node, requestOf("/s/1", "a" + std::to_string(number))));
    for (auto &answer : answers) {
        auto const served = answer.get();
        ASSERT_TRUE(served) << served.error().error.toString();
        EXPECT_EQ(served->body, eventTexts(0, 10));
    }
    std::map<std::string, std::set<Address>> usedBy;
    for (auto const &server : servers_) {
        for (auto const &request : server->requests())
            usedBy[std::string(request.headers.find("Anvilyard-Attempt-Id").value_or(""))].insert(server->address());
    }
    EXPECT_EQ(usedBy.size(), 20U);
    for (auto const &[id, used] : usedBy)
        EXPECT_EQ(used.size(), 2U) << id;
}

/// All servers pause their streams for longer than a silent connection is tolerated, as when they read long prompts. Guards against
/// moving every stream to servers that are just as slow, where its prompt is read again.
TEST_F(OnlineTest, AtPeakLoadFewStreamsAreMovedOffASilentServer)
{
    std::vector<std::unique_ptr<Http::Timer>> timers;
    auto const pausing = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        auto const last = request.headers.find("Last-Event-Id");
        auto const next = last ? std::stoull(std::string(*last)) + 1 : 0;
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(next, next + 1), nullptr);
        timers.push_back(thread_.loop().at(readLocalClock() + 1500ms, [next, writer] {
            writer->write(eventTexts(next + 1, 10), nullptr);
            writer->finish();
        }));
    };
    putState(1);
    for (int number = 1; number <= 3; ++number) {
        servers_.push_back(std::make_unique<FleetServer>(thread_, pausing));
        putServer("s" + std::to_string(number), servers_.back()->address(), "ready", 100);
    }
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    constexpr std::size_t Requests = 40;
    std::vector<std::future<Answer>> answers;
    for (std::size_t number = 0; number < Requests; ++number)
        answers.push_back(sendTo(node, requestOf("/s/1", "a" + std::to_string(number))));
    for (auto &answer : answers) {
        auto const served = answer.get();
        ASSERT_TRUE(served);
        EXPECT_EQ(served->body, eventTexts(0, 10));
    }
    // The budget's maximum of 10, a tenth of the requests, and the accrual of two seconds.
    EXPECT_LE(requestCount(), Requests + 10 + Requests / 10 + 1);
    thread_.call([&] { timers.clear(); });
}

/// Guards against a node that cuts the silent stream of a sound server and breaks it off when the servers that it asks to go on are full.
TEST_F(OnlineTest, AStreamThatTheNodeCutWaitsForAServerThatTakesIt)
{
    std::vector<FleetServer::Writer> silent;
    int requests = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (++requests == 1) {
            silent.push_back(writer);
            writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
            return writer->write(eventTexts(0, 3), nullptr);
        }
        if (requests > 7)
            return answerEvents(request, writer, 10);
        auto headers = signedHeaders(request, "text/plain");
        headers.append({"Anvilyard-Not-Executed", "1"});
        writer->respond({.status = 503, .headers = std::move(headers)});
    };
    auto &node = serve({script, script}, streamsWithGapTarget(200));
    auto const answer = ask(node, patientRequest());
    thread_.call([&] { silent.clear(); });
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
    EXPECT_EQ(requestCount(), 8U);
}

/// The stream broke at one server, and its route allows no third. Guards against breaking it off when the node has cut its silent stream
/// at the second server, which is full when asked to go on.
TEST_F(OnlineTest, AStreamThatTheNodeCutAtItsLastServerWaitsForThatServer)
{
    std::vector<FleetServer::Writer> silent;
    int requests = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        ++requests;
        if (requests == 3) {
            auto headers = signedHeaders(request, "text/plain");
            headers.append({"Anvilyard-Not-Executed", "1"});
            return writer->respond({.status = 503, .headers = std::move(headers)});
        }
        if (requests > 3)
            return answerEvents(request, writer, 10);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        if (requests == 1)
            return writer->write(eventTexts(0, 3), [writer](auto) { writer->abort(); });
        silent.push_back(writer);
        writer->write(eventTexts(3, 6), nullptr);
    };
    auto &node = serve({script, script, script}, streamsWithGapTarget(200));
    auto const answer = ask(node, patientRequest());
    thread_.call([&] { silent.clear(); });
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
    std::size_t used = 0;
    for (auto const &server : servers_)
        used += server->requests().empty() ? 0 : 1;
    EXPECT_EQ(used, 2U);
}

/// The node cut a stream that was silent at its first server, the second one crashes, and the route allows no third. Guards against
/// breaking it off although the first server goes on.
TEST_F(OnlineTest, AStreamWhoseLastServerCrashedIsResumedAtTheOneBefore)
{
    std::vector<FleetServer::Writer> silent;
    std::optional<std::size_t> second;
    int requests = 0;
    auto const scriptOf = [&](std::size_t position) -> FleetServer::Script {
        return [&, position](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
            if (++requests > 2)
                return answerEvents(request, writer, 10);
            silent.push_back(writer);
            writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
            writer->write(requests == 1 ? eventTexts(0, 3) : eventTexts(3, 6), nullptr);
            if (requests == 2)
                second = position;
        };
    };
    auto &node = serve({scriptOf(0), scriptOf(1)}, streamsWithGapTarget(200));
    auto pending = sendTo(node, patientRequest());
    waitUntil([&] { return second.has_value(); });
    servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(*second));
    auto const answer = pending.get();
    thread_.call([&] { silent.clear(); });
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
    EXPECT_EQ(requestCount(), 2U);
}

/// A stream whose route allows two servers breaks at the first, the second has died, and a third is sound. Guards against counting the
/// second as one that ran the stream, which then may be resumed nowhere else.
TEST_F(OnlineTest, AStreamWhoseResumeReachesNoServerIsResumedAtAThird)
{
    FleetServer::Writer first;
    auto &node = serve({[&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
                           writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
                           writer->write(eventTexts(0, 3), nullptr);
                           first = writer;
                       }},
                       streamsWithGapTarget(10'000));
    auto answer = sendTo(node, patientRequest());
    waitUntil([&] { return first != nullptr; });
    // The dead server is the nearest besides the first.
    putServer("s2", deadAddress());
    servers_.push_back(std::make_unique<FleetServer>(
        thread_, [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) { answerEvents(request, writer, 10); }));
    putServer("s3", servers_.back()->address(), "ready", 8, "far");
    waitForMetric(node, R"(anvilyard_node_servers{belief="usable"} 3)");
    thread_.call([&] { std::exchange(first, nullptr)->abort(); });
    auto const served = answer.get();
    ASSERT_TRUE(served) << served.error().error.toString();
    EXPECT_EQ(served->body, eventTexts(0, 10));
    EXPECT_THAT(metricsOf(node), ::testing::HasSubstr("\nanvilyard_node_sends_total 3\n"));
    EXPECT_EQ(requestCount(), 2U);
}

/// The stream broke at one server, and the other, the last that its route allows, is silent for a while after its registration was removed.
/// Guards against a node that cuts the stream although it may not be sent to that server again.
TEST_F(OnlineTest, ASilentStreamIsNotCutIfItCannotBeResumed)
{
    std::unique_ptr<Http::Timer> timer;
    int requests = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        if (++requests == 1)
            return writer->write(eventTexts(0, 3), [writer](auto) { writer->abort(); });
        writer->write(eventTexts(3, 6), nullptr);
        for (auto const *id : {"s1", "s2"})
            store_->remove("servers", id);
        // Longer than a server is used after its removal, and than the last server may be silent.
        timer = thread_.loop().at(readLocalClock() + 4s, [writer] {
            writer->write(eventTexts(6, 10), nullptr);
            writer->finish();
        });
    };
    auto &node = serve({script, script}, streamsWithGapTarget(1500));
    auto const answer = ask(node, patientRequest());
    thread_.call([&] { timer.reset(); });
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
    EXPECT_EQ(requestCount(), 2U);
}

/// Guards against ejecting a reachable server because the node moved its silent streams elsewhere: the next streams that break then find
/// no server to go on.
TEST_F(OnlineTest, AServerIsNotEjectedForStreamsThatTheNodeMoved)
{
    std::vector<FleetServer::Writer> silent;
    auto &node = serve({[&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
                           silent.push_back(writer);
                           writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
                           writer->write(eventTexts(0, 3), nullptr);
                       }},
                       streamsWithGapTarget(1500));
    std::vector<std::future<Answer>> answers;
    for (int number = 0; number < 2; ++number)
        answers.push_back(sendTo(node, patientRequest()));
    waitUntil([&] { return silent.size() == 2; });
    servers_.push_back(std::make_unique<FleetServer>(
        thread_, [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) { answerEvents(request, writer, 10); }));
    putServer("s2", servers_.back()->address());
    for (auto &answer : answers) {
        auto const served = answer.get();
        ASSERT_TRUE(served) << served.error().error.toString();
        EXPECT_EQ(served->body, eventTexts(0, 10));
    }
    EXPECT_THAT(metricsOf(node), ::testing::HasSubstr(R"(anvilyard_node_servers{belief="ejected"} 0)"));
    thread_.call([&] { silent.clear(); });
}

/// As before, but the silence is noticed while the server is still used as a last resort. It rejects new requests, so that a stream that
/// is cut breaks off.
TEST_F(OnlineTest, ASilentStreamIsNotCutIfItsServerIsOnlyALastResort)
{
    std::unique_ptr<Http::Timer> timer;
    int requests = 0;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (++requests > 2) {
            auto headers = signedHeaders(request, "text/plain");
            headers.append({"Anvilyard-Not-Executed", "1"});
            return writer->respond({.status = 503, .headers = std::move(headers)});
        }
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        if (requests == 1)
            return writer->write(eventTexts(0, 3), [writer](auto) { writer->abort(); });
        writer->write(eventTexts(3, 6), nullptr);
        for (auto const *id : {"s1", "s2"})
            store_->remove("servers", id);
        timer = thread_.loop().at(readLocalClock() + 1500ms, [writer] {
            writer->write(eventTexts(6, 10), nullptr);
            writer->finish();
        });
    };
    auto &node = serve({script, script}, streamsWithGapTarget(200));
    auto const answer = ask(node, patientRequest());
    thread_.call([&] { timer.reset(); });
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, eventTexts(0, 10));
    EXPECT_EQ(requestCount(), 2U);
}

/// Guards against moving a request away from a slow server while no other server has a free slot.
TEST_F(OnlineTest, ARequestIsNotMovedWhileNoOtherServerHasAFreeSlot)
{
    std::unique_ptr<Http::Timer> timer;
    auto &node = serve({[&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        timer = thread_.loop().at(readLocalClock() + 900ms, [request, writer] {
            writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = "late"});
        });
    }});
    auto const answer = ask(node, requestOf("/i/1", "a"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(requestCount(), 1U);
    thread_.call([&] { timer.reset(); });
}

/// A release replaces half of the servers, an entry is killed at a load peak, and callers take its streams up. Guards against refusing
/// these for the load of the few servers of their version while the others serve new streams.
TEST_F(OnlineTest, AStreamThatItsCallerTakesUpIsNotRefusedForTheLoadOfItsVersion)
{
    putState(1);
    std::vector<FleetServer::Writer> held;
    std::unique_ptr<Http::Timer> timer;
    FleetServer old(thread_, [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (request.target == "/s/slow") {
            timer = thread_.loop().at(readLocalClock() + 900ms, [request, writer] { answerEvents(request, writer, 10); });
            return;
        }
        if (request.headers.contains("Last-Event-Id"))
            return answerEvents(request, writer, 10);
        held.push_back(writer);
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 4), nullptr);
    });
    FleetServer newer(thread_,
                      [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) { answerEvents(request, writer, 10); });
    putServer("s1", old.address(), "ready", 1, "dc", "v1");
    waitUntilReady(startNode("runner-1", Serving::InstanceRole::Runner));
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    // The node learns that requests run for longer than the target of their first event.
    ASSERT_EQ(ask(node, requestOf("/s/slow", "slow"))->status, 200);
    auto first = sendTo(node, requestOf("/s/1", "a"));
    waitUntil([&] { return held.size() == 1; });
    auto second = sendTo(node, requestOf("/s/1", "b"));
    waitUntil([&] { return held.size() == 2; });
    putServer("s2", newer.address(), "ready", 8, "dc", "v2");
    // New streams begin at the new version as soon as the runner has recorded it.
    for (int number = 0; ask(node, requestOf("/s/1", "new-" + std::to_string(number)))->status != 200; ++number)
        continue;
    auto takenUp = requestOf("/s/1", "d");
    takenUp.headers.set("Resumes", "a");
    takenUp.headers.set("Last-Event-Id", "3");
    auto const answer = ask(node, std::move(takenUp));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_EQ(answer->body, eventTexts(4, 10));
    thread_.call([&] {
        timer.reset();
        for (auto const &writer : held)
            writer->abort();
        held.clear();
    });
    first.wait();
    second.wait();
}

namespace {

/// Servers that answer health checks, of which the first one resets all other requests.
class ResettingServerTest : public OnlineTest
{
protected:
    ~ResettingServerTest() override
    {
        // Nodes may still call the scripts.
        thread_.call([this] {
            nodes_.clear();
            servers_.clear();
        });
    }

    ResettingServerTest()
    {
        putState(1);
        for (bool const isSound : {false, true, true}) {
            thread_.call([&] {
                servers_.push_back(ScriptedServer::create(thread_.loop(), [isSound](ScriptedServer::Connection &connection, std::size_t) {
                    auto const isProbe = connection.head().starts_with("GET");
                    if (!isProbe && !isSound)
                        return connection.reset();
                    connection.send("HTTP/1.1 200 OK\r\nAnvilyard-Response-Signature: sig\r\nContent-Length: 2\r\n\r\nok");
                }));
            });
            putServer("s" + std::to_string(servers_.size()), servers_.back()->address());
        }
    }

    ResettingServerTest(ResettingServerTest const &) = delete;
    ResettingServerTest &operator=(ResettingServerTest const &) = delete;

    /// Sends requests at the same time that can be sent only once. Returns how many of them failed.
    int countFailed(Node::NodeProgram &node, int requests)
    {
        std::vector<std::future<Answer>> answers;
        for (int request = 0; request < requests; ++request)
            answers.push_back(sendTo(node, requestOf("/u/1", "r" + std::to_string(++sent_))));
        return static_cast<int>(std::ranges::count_if(answers, [](auto &answer) { return answer.get()->status != 200; }));
    }

    std::vector<std::unique_ptr<ScriptedServer>> servers_;
    int sent_ = 0;
};

} // namespace

/// Guards against giving requests that can be sent only once to a server after each health check that it answers.
TEST_F(ResettingServerTest, AServerThatAnswersOnlyHealthChecksGetsFewRequestsThatCanBeSentOnlyOnce)
{
    constexpr int Callers = 3;
    constexpr auto Time = 4s;
    // The requests that it fails before it is ejected, those in flight at that time, and one on its longest trial.
    constexpr int MaxFailed = 2 + Callers + 1;
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    int failed = 0;
    for (auto const until = readLocalClock() + Time; readLocalClock() < until; waitFor(10ms))
        failed += countFailed(node, Callers);
    EXPECT_GT(failed, 0);
    EXPECT_LE(failed, MaxFailed) << "of " << sent_;
}

/// A server that resets requests at once has none in flight. Guards against entries that all choose it before busy servers, one after the
/// other.
TEST_F(ResettingServerTest, RequestsThatOneEntryLostKeepOthersFromTheServer)
{
    auto &first = startNode("entry-1");
    auto &second = startNode("entry-2");
    waitUntilReady(first);
    waitUntilReady(second);
    // As many as there are servers, so that each gets one.
    constexpr int Callers = 3;
    for (int lost = 0; lost == 0;)
        lost = countFailed(first, Callers);
    EXPECT_EQ(countFailed(first, Callers - 1), 0) << "the failed request counts as load";
    // Until the second entry has the load of the first one.
    waitFor(200ms);
    constexpr int Rounds = 4;
    int failed = 0;
    for (int round = 0; round < Rounds; ++round)
        failed += countFailed(second, Callers - 1);
    EXPECT_EQ(failed, 0);
}

/// All servers of a pool fail for a moment and are ejected; they serve requests again, but reset all health checks. Guards against servers
/// that are never used again.
TEST_F(OnlineTest, ServersThatAnswerNoHealthChecksAreUsedAgain)
{
    bool isFailing = true;
    FleetServer::Script const script = [&](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        if (isFailing || request.method == "GET")
            return writer->abort();
        writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = "ok"});
    };
    auto &node = serve({script, script, script});
    int sent = 0;
    auto const sendUntil = [&](std::string const &sample) {
        while (metricsOf(node).find("\nanvilyard_node_servers{belief=" + sample + "\n") == std::string::npos) {
            // At the same time, so that each server gets one.
            std::vector<std::future<Answer>> answers;
            for (std::size_t request = 0; request < servers_.size(); ++request)
                answers.push_back(sendTo(node, requestOf("/i/1", "r" + std::to_string(++sent))));
            for (auto const &answer : answers)
                answer.wait();
        }
    };
    // As many as may be ejected.
    sendUntil(R"("ejected"} 2)");
    thread_.call([&] { isFailing = false; });
    sendUntil(R"("ejected"} 0)");
    sendUntil(R"("on_trial"} 0)");
    auto const answer = ask(node, requestOf("/i/1", "last"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
}
