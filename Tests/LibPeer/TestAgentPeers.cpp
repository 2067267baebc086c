#include "LibPeer/AgentClient.h"
#include "LibPeer/AgentFollower.h"
#include "LibPeer/AgentServer.h"
#include "LibPeer/PeerError.h"

#include "WaitableValue.h"

#include <arpa/inet.h>
#include <future>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Anvilyard;
using namespace Anvilyard::Peer;
using Anvilyard::Testing::WaitableValue;

namespace {

Address const anyPort("127.0.0.1:0");
constexpr std::size_t TooLargeBytes = 3UL * 1024 * 1024;

/// Options of an agent that returns each exchange request as its response.
AgentServerOptions echoOptions(std::string const &key)
{
    return {
        .listen = anyPort,
        .sharedKey = key,
        .onExchange = [](Fleet::Exchange const &request, Responder<Fleet::Exchange> const &respond) { respond(request); },
        .onProbe = [](Responder<ProbeResult> const &respond) { respond({.reached = true, .incarnation = Fleet::Incarnation(5)}); },
        .onIndirectProbe = [](Address const &, Responder<ProbeResult> const &respond) { respond({.reached = false}); },
        .onRaiseJobsMark = [](Responder<std::uint64_t> const &respond) { respond(9); },
    };
}

/// Listens but never responds, like a peer behind a connection whose packets are dropped.
class UnresponsiveListener
{
public:
    UnresponsiveListener()
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{.sin_family = AF_INET, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
        socklen_t size = sizeof address;
        bind(socket_, reinterpret_cast<sockaddr *>(&address), size);
        listen(socket_, 8);
        getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
    }

    ~UnresponsiveListener()
    {
        close(socket_);
    }

    UnresponsiveListener(UnresponsiveListener const &) = delete;
    UnresponsiveListener &operator=(UnresponsiveListener const &) = delete;

    [[nodiscard]] Address address() const
    {
        return Address("127.0.0.1:" + std::to_string(port_));
    }

private:
    int socket_;
    int port_ = 0;
};

Result<Fleet::Exchange> callExchange(AgentClient &client, Address const &agent, Fleet::Exchange const &request, Duration timeout)
{
    std::promise<Result<Fleet::Exchange>> reply;
    client.exchange(agent, request, readLocalClock() + timeout, [&](auto value) { reply.set_value(std::move(value)); });
    return reply.get_future().get();
}

struct PeerFaultCase {
    std::string name;
    std::string serverKey;
    std::string clientKey;
    enum class Target {
        Agent,
        Unresponsive,
        NotListening,
        DropsReplies,
    } target = Target::Agent;
    std::size_t textBytes = 0;
    /// Expected error; `std::nullopt` if the call should succeed.
    std::optional<PeerError> expected;
};

using Target = PeerFaultCase::Target;

// Guards against two failures: PeerKey::accepts() accepting wrong or missing keys (WrongKey, NoKey), and calls that hang because
// the agent destroys a PendingReply without a response (DropsReplies).
std::vector<PeerFaultCase> const faultCases = {
    {.name = "RightKey", .serverKey = "k", .clientKey = "k"},
    {.name = "FleetWithoutKey"},
    {.name = "WrongKey", .serverKey = "k", .clientKey = "other", .expected = PeerError::KeyRejected},
    {.name = "NoKey", .serverKey = "k", .expected = PeerError::KeyRejected},
    {.name = "LongerKey", .serverKey = "k", .clientKey = "kk", .expected = PeerError::KeyRejected},
    {.name = "Unresponsive", .target = Target::Unresponsive, .expected = PeerError::TimedOut},
    {.name = "NotListening", .target = Target::NotListening, .expected = PeerError::Unreachable},
    {.name = "DropsReplies", .target = Target::DropsReplies, .expected = PeerError::Unreachable},
    {.name = "LargestRules", .textBytes = 700'000},
    {.name = "TooLarge", .textBytes = TooLargeBytes, .expected = PeerError::MessageTooLarge},
};

class PeerFaultTest : public testing::TestWithParam<PeerFaultCase>
{
};

PublishedView makeView(std::uint64_t generation, std::uint64_t jobsMark, std::string const &text = "{leaving: e}  # Ana\n")
{
    auto view = std::make_shared<Fleet::FleetView>();
    view->rules = std::make_shared<Rules::RuleSet const>(Rules::RuleSet{.generation = Generation(generation)});
    view->servers = {{.id = ServerId("e"), .pool = PoolName("p"), .address = Address("127.0.0.1:1"), .state = Fleet::ServerState::Leaving}};
    view->instances = {{.id = InstanceId("i"), .dataCentre = DataCentreId("d"), .agentAddress = Address("127.0.0.1:2")}};
    view->jobsMark = jobsMark;
    return {.view = view, .rulesText = std::make_shared<std::string const>(text)};
}

using Views = std::vector<std::shared_ptr<Fleet::FleetView const>>;

std::function<bool(Views const &)> hasMark(std::uint64_t mark)
{
    return [mark](Views const &views) { return !views.empty() && views.back()->jobsMark == mark; };
}

} // namespace

TEST_P(PeerFaultTest, CallsReturnTheExpectedError)
{
    auto const &faultCase = GetParam();
    auto options = echoOptions(faultCase.serverKey);
    if (faultCase.target == Target::DropsReplies)
        options.onExchange = [](Fleet::Exchange const &, Responder<Fleet::Exchange> const &) {};
    auto server = AgentServer::create(std::move(options));
    ASSERT_TRUE(server);
    UnresponsiveListener const unresponsive;
    auto target = faultCase.target == Target::Unresponsive ? unresponsive.address() : (*server)->address();
    if (faultCase.target == Target::NotListening)
        server->reset();
    auto const client = AgentClient::create({.self = InstanceId("i"), .sharedKey = faultCase.clientKey});
    Fleet::Exchange request{.from = InstanceId("i"), .generation = Generation(3), .jobsMark = 4};
    request.rules = Fleet::RuleSetUpdate{.generation = Generation(3), .text = std::string(faultCase.textBytes, 'x'), .digest = "d"};
    // Only the call to the unresponsive peer waits for its full timeout.
    auto const reply = callExchange(*client, target, request, faultCase.target == Target::Unresponsive ? Duration(200ms) : Duration(10s));
    if (!faultCase.expected) {
        ASSERT_TRUE(reply) << reply.error().toString();
        EXPECT_EQ(reply->generation, Generation(3));
        EXPECT_EQ(reply->rules->text.size(), faultCase.textBytes);
        return;
    }
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().code, make_error_code(*faultCase.expected)) << reply.error().toString();
}

INSTANTIATE_TEST_SUITE_P(Faults, PeerFaultTest, testing::ValuesIn(faultCases), [](auto const &info) { return info.param.name; });

TEST(AgentPeersTest, ProbesReturnIncarnationAndReachability)
{
    auto const server = AgentServer::create(echoOptions("k"));
    auto const client = AgentClient::create({.self = InstanceId("i"), .sharedKey = "k"});
    std::promise<Result<ProbeResult>> direct;
    client->probe((*server)->address(), readLocalClock() + 10s, [&](auto value) { direct.set_value(value); });
    EXPECT_EQ(direct.get_future().get()->incarnation, Fleet::Incarnation(5));
    std::promise<Result<ProbeResult>> indirect;
    client->probeIndirectly((*server)->address(), anyPort, readLocalClock() + 10s, [&](auto value) { indirect.set_value(value); });
    EXPECT_FALSE(indirect.get_future().get()->reached);
}

TEST(AgentPeersTest, PortInUseIsAnError)
{
    auto const server = AgentServer::create(echoOptions(""));
    auto options = echoOptions("");
    options.listen = (*server)->address();
    auto const second = AgentServer::create(std::move(options));
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code, PeerError::BindFailed);
}

TEST(AgentPeersTest, DestroyingAClientCancelsItsCalls)
{
    UnresponsiveListener const unresponsive;
    auto client = AgentClient::create({.self = InstanceId("i"), .sharedKey = "k"});
    std::optional<std::error_code> code;
    client->probe(unresponsive.address(), readLocalClock() + 1h, [&](auto value) { code = value.error().code; });
    client.reset();
    EXPECT_EQ(code, make_error_code(PeerError::Cancelled));
}

TEST(AgentFollowerTest, DeliversNewerViewsAndNeverAnOlderGeneration)
{
    auto const server = AgentServer::create(echoOptions("k"));
    WaitableValue<Views> views;
    auto const follower = AgentFollower::create({
        .agent = (*server)->address(),
        .sharedKey = "k",
        .role = "entry",
        .onView = [&](auto view) { views.update([&](Views &list) { list.push_back(view); }); },
    });
    (*server)->publish(makeView(5, 1));
    auto const first = views.waitFor(hasMark(1)).back();
    EXPECT_EQ(first->rules->generation, Generation(5));
    EXPECT_EQ(first->rules->leaving.at(0).server, ServerId("e"));
    EXPECT_EQ(first->servers.at(0).state, Fleet::ServerState::Leaving);
    EXPECT_EQ(first->instances.at(0).agentAddress, Address("127.0.0.1:2"));
    (*server)->publish(makeView(5, 2));
    // Unchanged rules are not sent again, and the same object stays in use.
    EXPECT_EQ(views.waitFor(hasMark(2)).back()->rules, first->rules);
    (*server)->publish(makeView(4, 3));
    (*server)->publish(makeView(6, 4));
    for (auto const &view : views.waitFor(hasMark(4)))
        EXPECT_GE(view->rules->generation, Generation(5));
}

// Guards against a follower that returns to older rules after a restart of its agent, which may not have read the newest
// generation yet.
TEST(AgentFollowerTest, KeepsItsRulesWhenARestartedAgentHasOlderOnes)
{
    auto first = AgentServer::create(echoOptions("k"));
    auto const address = (*first)->address();
    WaitableValue<Views> views;
    auto const follower = AgentFollower::create({
        .agent = address,
        .sharedKey = "k",
        .role = "batch",
        .onView = [&](auto view) { views.update([&](Views &list) { list.push_back(view); }); },
    });
    (*first)->publish(makeView(7, 1));
    views.waitFor(hasMark(1));
    first->reset();
    auto options = echoOptions("k");
    options.listen = address;
    auto const second = AgentServer::create(std::move(options));
    ASSERT_TRUE(second);
    // The follower first receives the older generation and then a newer one on the same stream.
    (*second)->publish(makeView(6, 2));
    while ((*second)->followerCount() == 0)
        std::this_thread::yield();
    (*second)->publish(makeView(8, 3));
    for (auto const &view : views.waitFor(hasMark(3)))
        EXPECT_NE(view->rules->generation, Generation(6));
}

TEST(AgentFollowerTest, InvalidRulesLeaveTheOldOnesInForce)
{
    auto const server = AgentServer::create(echoOptions(""));
    WaitableValue<Views> views;
    auto const follower = AgentFollower::create({
        .agent = (*server)->address(),
        .role = "entry",
        .onView = [&](auto view) { views.update([&](Views &list) { list.push_back(view); }); },
    });
    (*server)->publish(makeView(1, 1));
    views.waitFor(hasMark(1));
    (*server)->publish(makeView(2, 2, "{leaving: e}\n"));
    (*server)->publish(makeView(3, 3));
    for (auto const &view : views.waitFor(hasMark(3)))
        EXPECT_NE(view->rules->generation, Generation(2));
}

/// A stream carries the rules once per generation. Guards against taking a later view of a generation whose rules could not be read, which
/// carries no rules, for one without any rules: the follower would then have no route.
TEST(AgentFollowerTest, ALaterViewOfInvalidRulesLeavesTheOldOnesInForce)
{
    auto const server = AgentServer::create(echoOptions(""));
    WaitableValue<Views> views;
    auto const follower = AgentFollower::create({
        .agent = (*server)->address(),
        .role = "entry",
        .onView = [&](auto view) { views.update([&](Views &list) { list.push_back(view); }); },
    });
    (*server)->publish(makeView(1, 1));
    views.waitFor(hasMark(1));
    // Views may be merged while one is written, so several of the generation are published apart.
    for (std::uint64_t mark = 2; mark < 6; ++mark) {
        (*server)->publish(makeView(2, mark, "{leaving: e}\n"));
        std::this_thread::sleep_for(20ms);
    }
    (*server)->publish(makeView(3, 6));
    for (auto const &view : views.waitFor(hasMark(6)))
        EXPECT_NE(view->rules->generation, Generation(2)) << view->rules->leaving.size();
}

TEST(AgentFollowerTest, FollowerWithAWrongKeyReceivesNoView)
{
    auto const server = AgentServer::create(echoOptions("k"));
    (*server)->publish(makeView(1, 1));
    WaitableValue<Views> views;
    {
        auto const unauthorized = AgentFollower::create({
            .agent = (*server)->address(),
            .sharedKey = "other",
            .role = "entry",
            .onView = [&](auto view) { views.update([&](Views &list) { list.push_back(view); }); },
        });
        auto const authorized = AgentFollower::create({
            .agent = (*server)->address(),
            .sharedKey = "k",
            .role = "entry",
            .onView = [&](auto view) { views.update([&](Views &list) { list.push_back(view); }); },
        });
        views.waitFor([](Views const &list) { return !list.empty(); });
    }
    EXPECT_EQ(views.waitFor([](auto const &) { return true; }).size(), 1U);
}
