#include "LibObserve/Events.h"
#include "Tests/Node/NodeFixture.h"

#include <algorithm>
#include <gmock/gmock.h>
#include <map>

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using ::testing::HasSubstr;

namespace {

class ObservationTest : public NodeTest
{
protected:
    Node::NodeProgram &serve(FleetServer::Script script)
    {
        putState(1);
        server_ = std::make_unique<FleetServer>(thread_, std::move(script));
        putServer("s1", server_->address());
        auto &node = startNode("entry-1");
        waitUntilReady(node);
        return node;
    }

    std::unique_ptr<FleetServer> server_;
};

} // namespace

/// Guards against missing latencies or outcomes of streams in the metrics.
TEST_F(ObservationTest, MetricsReportOutcomesAndLatenciesByRoute)
{
    auto &node = serve([](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) { answerEvents(request, writer, 3); });
    ASSERT_TRUE(ask(node, requestOf("/s/1", "a")));
    ASSERT_TRUE(ask(node, requestOf("/s/2", "b")));
    auto const text = metricsOf(node);
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_requests_ended_total{outcome="served",route="s"} 2)"));
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_first_event_seconds_count{route="s"} 2)"));
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_request_seconds_bucket{route="s",le="+Inf"} 2)"));
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_servers{belief="usable"} 1)"));
    EXPECT_THAT(text, HasSubstr("anvilyard_node_state_version 1"));
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_store_calls_total{call="list",kind="config",outcome="ok"} 1)"));
}

/// Guards against refusals that are counted without their reason, so that the metrics don't show why requests are refused.
TEST_F(ObservationTest, MetricsReportRefusalReasons)
{
    auto &node = serve([](int, Http::HttpRequest const &, FleetServer::Writer const &writer) { writer->respond({.status = 500}); });
    ASSERT_TRUE(ask(node, requestOf("/nowhere/1", "a")));
    EXPECT_THAT(metricsOf(node), HasSubstr(R"(anvilyard_node_refusals_total{reason="route_not_found"} 1)"));
}

/// Guards against counting a stream that the node breaks off as one whose caller left, which hides what servers did.
TEST_F(ObservationTest, MetricsReportAStreamThatTheNodeBreaksOff)
{
    auto &node = serve([](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 1), [writer](auto) { writer->abort(); });
    });
    EXPECT_FALSE(ask(node, requestOf("/o/1", "a")));
    auto const text = metricsOf(node);
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_requests_ended_total{outcome="broken-off",route="o"} 1)"));
    EXPECT_THAT(text, HasSubstr("anvilyard_node_callers_gone_total 0"));
}

/// Guards against a broken-off stream whose cause can be found neither in the metrics nor at its caller's connection.
TEST_F(ObservationTest, MetricsReportWhyAStreamWasBrokenOffAndWhichSideClosed)
{
    auto &node = serve([](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 1), [writer](auto) { writer->abort(); });
    });
    EXPECT_FALSE(ask(node, requestOf("/o/1", "a")));
    EXPECT_FALSE(ask(node, requestOf("/s/1", "b")));
    auto const text = metricsOf(node);
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_broken_streams_total{reason="not-repeatable"} 1)"));
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_broken_streams_total{reason="too-many-sends"} 1)"));
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_connections_closed_total{reason="aborted",state="streaming"} 2)"));
}

/// Guards against attempts that end within an event and leave no trace in the metrics: a server crashes while it sends.
TEST_F(ObservationTest, MetricsCountSendsThatEndWithinAnEvent)
{
    auto &node = serve([](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, 1) + "id: 1\nda", [writer](auto) { writer->abort(); });
    });
    EXPECT_FALSE(ask(node, requestOf("/o/1", "a")));
    EXPECT_THAT(metricsOf(node), HasSubstr("anvilyard_node_unfinished_events_total 1"));
}

/// A server crashes as it begins to answer. Guards against attempts whose line does not show that no answer had begun, and with which
/// parts of a prompt, so that prompts which crash servers cannot be told from servers that are lost for another reason.
TEST_F(ObservationTest, AResponseLostBeforeItsAnswerIsLoggedWithThePartsOfThePrompt)
{
    std::vector<std::map<std::string, std::string>> lines;
    Observe::setLogSink([&](Observe::EventDefinition const &event, std::initializer_list<Observe::Field> fields) {
        if (event.name != Observe::Events::NodeAttemptFailed.name)
            return;
        auto &line = lines.emplace_back();
        for (auto const &field : fields)
            line.emplace(field.name, field.value);
    });
    auto &node = serve([](int number, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
        writer->write(eventTexts(0, number == 1 ? 0 : 3), [writer](auto) { writer->abort(); });
    });
    for (auto const *const id : {"a", "b"}) {
        auto request = requestOf("/o/1", id);
        request.headers.set("Anvilyard-Prompt-Prefix", std::string("c1:200,c2:50,own-") + id + ":250");
        static_cast<void>(ask(node, std::move(request)));
    }
    thread_.call([] { Observe::setLogSink(nullptr); });
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines[0].at("head"), "200");
    EXPECT_EQ(lines[0].at("attempt_events"), "0");
    EXPECT_EQ(lines[1].at("attempt_events"), "3");
    EXPECT_EQ(lines[0].at("prompt_parts"), lines[1].at("prompt_parts"));
    EXPECT_EQ(std::count(lines[0].at("prompt_parts").begin(), lines[0].at("prompt_parts").end(), ','), 1);
    EXPECT_EQ(lines[0].at("fingerprint"), lines[1].at("fingerprint")) << "both ask for the same";
    EXPECT_EQ(lines[0].at("server_started_at"), "1");
    EXPECT_EQ(lines[0].at("reached"), "response-started");
    EXPECT_THAT(metricsOf(node), HasSubstr("anvilyard_node_lost_responses_total 1"));
}

/// Guards against unbounded memory use by metrics when route names keep changing.
TEST(NodeMetricsTest, RoutesBeyondTheLimitShareALabel)
{
    Observe::MetricsRegistry registry;
    Node::NodeMetrics metrics(registry);
    for (int number = 0; number < 1000; ++number)
        metrics.route(Serving::RouteName("r" + std::to_string(number))).onEnded("served", 1s);
    auto const text = registry.toPrometheusText();
    EXPECT_THAT(text, HasSubstr(R"(anvilyard_node_requests_ended_total{outcome="served",route="other"} 936)"));
    EXPECT_THAT(text, ::testing::Not(HasSubstr(R"(route="r64")")));
}

/// Guards against a settings key whose change is neither applied nor listed as requiring a restart.
TEST(NodeSettingsTest, ReloadReportsChangedKeysAndWhichNeedARestart)
{
    Node::NodeSettings const running{.instance = InstanceId("a"), .peers = Address("10.0.0.1:1")};
    EXPECT_TRUE(Node::compareSettings(running, running).appliedImmediately.empty());
    EXPECT_TRUE(Node::compareSettings(running, running).appliedAfterRestart.empty());
    Node::NodeSettings const other{.instance = InstanceId("b"),
                                   .dataCentre = DataCentreId("dc"),
                                   .role = Serving::InstanceRole::Runner,
                                   .callers = Address("10.0.0.1:2"),
                                   .readiness = Address("10.0.0.1:3"),
                                   .peers = Address("10.0.0.1:4"),
                                   .metrics = Address("10.0.0.1:5"),
                                   .platform = Address("10.0.0.1:6"),
                                   .stopTimeout = 20s};
    auto const changes = Node::compareSettings(running, other);
    EXPECT_EQ(changes.appliedImmediately, std::vector<std::string>{"stop-timeout"});
    EXPECT_THAT(
        changes.appliedAfterRestart,
        ::testing::ElementsAre(
            "instance", "data-centre", "role", "listen.callers", "listen.readiness", "listen.peers", "listen.metrics", "platform.address"));
}

/// A tick throws, and the process catches the exception and goes on. Guards against a node that never ticks again: it would still report
/// load changes, so its peers would count it as the owner of jobs that it neither runs nor hands over.
TEST_F(ObservationTest, ATickThatThrowsDoesNotEndTheTicks)
{
    Http::EventLoop loop;
    auto const store = Adapter::FleetStore::create({.loop = loop, .platform = store_->address()});
    int ticks = 0;
    Address const any("127.0.0.1:0");
    Node::NodeProgram node({
        .loop = loop,
        .settings = {.instance = InstanceId("entry-1"),
                     .dataCentre = DataCentreId("dc"),
                     .callers = any,
                     .readiness = any,
                     .peers = any,
                     .metrics = any},
        .protocol = protocol_,
        .store = *store,
        .statuses = *store,
        .onTick =
            [&] {
                if (++ticks == 1)
                    throw std::runtime_error("first tick");
                loop.stop();
            },
    });
    ASSERT_TRUE(node.start());
    EXPECT_THROW(loop.run(), std::runtime_error);
    auto const limit = loop.at(readLocalClock() + 10s, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(ticks, 2);
}

/// The fourth figure of a server's load report has to reach the choice of servers.
TEST_F(ObservationTest, MetricsShowAServerThatStatesToBeSlow)
{
    FleetServer::Script const script = [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
        auto headers = signedHeaders(request, "text/event-stream");
        headers.set("Anvilyard-Instance-Load", "1,0,8,250");
        writer->start({.status = 200, .headers = std::move(headers)});
        writer->write(eventTexts(0, 3), nullptr);
        writer->finish();
    };
    FleetServer const other(thread_, script);
    putServer("s2", other.address());
    auto &node = serve(script);
    EXPECT_THAT(metricsOf(node), HasSubstr("anvilyard_node_slow_servers 0"));
    // A server that has stated nothing yet counts as usual. The effect of a statement fades within a second.
    bool isShown = false;
    for (int request = 0; request < 20 && !isShown; ++request) {
        ASSERT_TRUE(ask(node, requestOf("/s/1", "r" + std::to_string(request))));
        isShown = metricsOf(node).find("anvilyard_node_slow_servers 1") != std::string::npos;
    }
    EXPECT_TRUE(isShown);
}
