#include "LibServing/ServingError.h"
#include "platform/FleetProtocol.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Adapter;
using Serving::RouteKind;
using Serving::ServingError;

namespace {

/// Shortened example from the platform's documentation.
std::string const stateText = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":5000,"sloMs":300,"priority":0,"service":"p1","attempts":1,"sessionAffinity":true,"resumable":false,"gapAimMs":600},
{"name":"r2","host":"a.example","pathPrefix":"/t/","kind":"streaming","timeoutMs":5000,"sloMs":300,"priority":1,"backends":[{"service":"p1","weight":90},{"service":"p2","weight":10}],"attempts":2,"sessionAffinity":true,"resumable":true,"gapAimMs":600},
{"name":"r3","host":"a.example","pathPrefix":"/b/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,"service":"p1","attempts":3,"completionTargetMs":18000,"queueTtlS":60,"cap":1900000},
{"name":"r4","host":"a.example","pathPrefix":"/i/","kind":"idempotent","timeoutMs":2500,"sloMs":150.5,"priority":2,"service":"p2","attempts":2},
{"name":"r5","host":"a.example","pathPrefix":"/u/","kind":"what is new","timeoutMs":2500,"sloMs":150,"priority":2,"service":"p2","attempts":2}],
"services":[{"name":"p1","healthPath":"/healthz","maxConns":310,"protocol":"h1","tls":false,"engine":{"slots":8}},{"name":"p2","healthPath":"/h","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string const serverText =
    R"({"service":"p1","address":"10.0.0.9:8080","zone":"dc","version":"v1","slots":8,"state":"ready","warmupLeftMs":0,"sequence":4,"born":1764806963000})";

Http::HttpRequest requestOf(std::string method, std::string target, Http::Headers headers = {}, std::string body = {})
{
    return {.method = std::move(method), .target = std::move(target), .headers = std::move(headers), .body = std::move(body)};
}

FleetProtocol const protocol;

} // namespace

TEST(FleetProtocolTest, TheDesiredStateIsDecodedWithItsUnits)
{
    auto const state = protocol.readDesiredState(stateText);
    ASSERT_TRUE(state) << state.error().toString();
    EXPECT_EQ(state->version, Serving::StateVersion(7));
    ASSERT_EQ(state->routes.size(), 5U);
    EXPECT_EQ(state->routes[0].kind, RouteKind::Streaming);
    EXPECT_FALSE(state->routes[0].isResumable);
    EXPECT_EQ(state->routes[0].eventGapTarget, 600ms);
    EXPECT_EQ(state->routes[1].pools.size(), 2U);
    EXPECT_EQ(state->routes[1].pools[1].weight, 10);
    EXPECT_TRUE(state->routes[1].isResumable);
    EXPECT_EQ(state->routes[2].kind, RouteKind::Batch);
    EXPECT_EQ(state->routes[2].completionTarget, 18s);
    EXPECT_EQ(state->routes[2].giveUpAfter, 60s);
    EXPECT_EQ(state->routes[2].maxWaitingTokens, 1'900'000U);
    EXPECT_EQ(state->routes[3].latencyTarget, 150'500us);
    EXPECT_EQ(state->pools[0].maxConnections, 310U);
    EXPECT_EQ(state->limits.headTimeout, 3s);
    EXPECT_EQ(state->limits.idleTimeout, 15s);
}

/// Guards against repeating requests of a route kind that is not implemented yet.
TEST(FleetProtocolTest, AnUnknownRouteKindRunsAtMostOnce)
{
    EXPECT_EQ(protocol.readDesiredState(stateText)->routes[4].kind, RouteKind::AtMostOnce);
}

TEST(FleetProtocolTest, MalformedDesiredStatesAreRejected)
{
    for (auto const *const text : {"",
                                   "{}",
                                   "null",
                                   "[1]",
                                   R"({"version":"7","routes":[],"services":[],"limits":{}})",
                                   R"({"version":7,"routes":[{}],"services":[],"limits":{}})"})
        EXPECT_EQ(protocol.readDesiredState(text).error().code, ServingError::BadRecord) << text;
}

/// Guards against customers that are read with another limit or priority than the operator set.
TEST(FleetProtocolTest, CustomersAreDecoded)
{
    auto const withCustomers = [](std::string const &customers) {
        auto text = stateText;
        text.insert(text.rfind('}'), R"(,"tenants":)" + customers);
        return protocol.readDesiredState(text);
    };
    auto const state = withCustomers(
        R"([{"name":"north","apiKeys":["k1","k2"],"priority":1,"ratePerS":330,"burst":33.5},{"name":"south","apiKeys":["k3"]}])");
    ASSERT_TRUE(state) << state.error().toString();
    ASSERT_EQ(state->customers->size(), 2U);
    auto const &north = state->customers->front();
    EXPECT_EQ(north.id, CustomerId("north"));
    EXPECT_EQ(north.keys, (std::vector<std::string>{"k1", "k2"}));
    EXPECT_EQ(north.priority, 1);
    EXPECT_EQ(north.requestsPerSecond, 330);
    EXPECT_EQ(north.burst, 33.5);
    EXPECT_EQ(state->customers->back().priority, std::nullopt);
    EXPECT_EQ(state->customers->back().requestsPerSecond, 0);
    EXPECT_EQ(protocol.readDesiredState(stateText)->customers, std::nullopt);
    EXPECT_TRUE(withCustomers("[]")->customers.has_value());
    for (auto const *const malformed : {R"([{"name":"north"}])",
                                        R"([{"apiKeys":["secret"]}])",
                                        R"([{"name":"north","apiKeys":"secret"}])",
                                        R"([{"name":"north","apiKeys":["secret"],"ratePerS":"3"}])",
                                        R"([{"name":"north","apiKeys":["secret"],"ratePerS":-1}])",
                                        R"([{"name":"north","apiKeys":["secret"]},{"name":"south","apiKeys":["secret"]}])",
                                        R"(["secret"])",
                                        R"("secret")"}) {
        auto const rejected = withCustomers(malformed);
        ASSERT_FALSE(rejected) << malformed;
        EXPECT_EQ(rejected.error().toString().find("secret"), std::string::npos) << rejected.error().toString();
    }
}

/// Guards against a server that sees a key, and against a caller that names another customer.
TEST(FleetProtocolTest, AServerIsSentTheCustomerInsteadOfTheKey)
{
    auto const request =
        requestOf("POST",
                  "/s/1",
                  {{"Host", "a.example"}, {"Authorization", "Token k1"}, {"Anvilyard-Tenant", "other"}, {"anvilyard-tenant", "third"}});
    EXPECT_EQ(protocol.readKey(request), "k1");
    auto const forwarded = protocol.makeServerRequest(request, {.server = ServerId("s"), .customer = CustomerId("north")});
    EXPECT_FALSE(forwarded.headers.contains("Authorization"));
    EXPECT_EQ(protocol.readCustomer(forwarded), CustomerId("north"));
    auto const anonymous = protocol.makeServerRequest(request, {.server = ServerId("s"), .customer = CustomerId()});
    EXPECT_FALSE(anonymous.headers.contains("Authorization"));
    EXPECT_FALSE(anonymous.headers.contains("Anvilyard-Tenant"));
    // Without customers, the header belongs to the caller and the server.
    EXPECT_TRUE(protocol.makeServerRequest(request, {.server = ServerId("s")}).headers.contains("Authorization"));
    Jobs::JobItem const item{.id = Jobs::ItemId("i"), .target = "/s/1", .headers = request.headers};
    auto const sentItem = protocol.makeServerRequest(item, "a.example", {.server = ServerId("s"), .customer = CustomerId("north")});
    EXPECT_FALSE(sentItem.headers.contains("Authorization"));
    EXPECT_EQ(protocol.readCustomer(sentItem), CustomerId("north"));
}

TEST(FleetProtocolTest, AKeyHasTheSchemeToken)
{
    auto const keyIn = [](std::string value) { return protocol.readKey(requestOf("GET", "/", {{"Authorization", std::move(value)}})); };
    EXPECT_EQ(keyIn("token k1"), "k1");
    EXPECT_EQ(keyIn("Token "), std::nullopt);
    EXPECT_EQ(keyIn("Bearer k1"), std::nullopt);
    EXPECT_EQ(protocol.readKey(requestOf("GET", "/")), std::nullopt);
    // Programs may differ in which one they read.
    EXPECT_EQ(protocol.readKey(requestOf("GET", "/", {{"Authorization", "Token k1"}, {"authorization", "Token k2"}})), std::nullopt);
}

TEST(FleetProtocolTest, AServerIsDecoded)
{
    auto const server = protocol.readServer(ServerId("i-1"), serverText);
    ASSERT_TRUE(server) << server.error().toString();
    EXPECT_EQ(server->pool, PoolName("p1"));
    EXPECT_EQ(server->slots, 8U);
    EXPECT_EQ(server->startedAt, 1764806963000);
    EXPECT_EQ(server->state, Serving::ServerRecord::State::Ready);
}

/// Records of other writers: missing fields, fields of another type, an unknown state, arbitrary bytes.
TEST(FleetProtocolTest, MalformedServerRecordsAreRejected)
{
    auto const base = boost::json::parse(serverText).as_object();
    for (auto const *const key : {"service", "address", "zone", "slots", "state"}) {
        auto missing = base;
        missing.erase(key);
        EXPECT_FALSE(protocol.readServer(ServerId("i"), boost::json::serialize(missing))) << key;
        for (boost::json::value const &value :
             {boost::json::value(nullptr), boost::json::value(-1), boost::json::value(boost::json::array{})}) {
            auto other = base;
            other[key] = value;
            EXPECT_FALSE(protocol.readServer(ServerId("i"), boost::json::serialize(other))) << key;
        }
    }
    auto unknown = base;
    unknown["state"] = "resting";
    EXPECT_FALSE(protocol.readServer(ServerId("i"), boost::json::serialize(unknown)));
    for (auto const *const text : {"", "\xff\xfe", "{", "7", "null"})
        EXPECT_FALSE(protocol.readServer(ServerId("i"), text));
}

TEST(FleetProtocolTest, ARequestIsForwardedUnchangedExceptForAttemptHeaders)
{
    auto const request = requestOf("POST",
                                   "/s/1?x=%20",
                                   {{"Host", "a.example"},
                                    {"Connection", "close, X-Mine"},
                                    {"X-Mine", "1"},
                                    {"Keep-Alive", "timeout=5"},
                                    {"Content-Length", "4"},
                                    {"Expect", "100-continue"},
                                    {"Anvilyard-Attempt-Id", "id1"},
                                    {"Anvilyard-Deadline-Ms", "5000"},
                                    {"Anvilyard-Token-Usage", "450,210"},
                                    {"X-Other", "2"}},
                                   "body");
    auto const sent = protocol.makeServerRequest(request, {.server = ServerId("i-1"), .timeLeft = 1234567us, .lastEventId = 12});
    EXPECT_EQ(sent.method, "POST");
    EXPECT_EQ(sent.target, "/s/1?x=%20");
    EXPECT_EQ(sent.body, "body");
    EXPECT_EQ(sent.headers.find("Host"), "a.example");
    EXPECT_EQ(sent.headers.find("Anvilyard-Attempt-Id"), "id1");
    EXPECT_EQ(sent.headers.find("Anvilyard-Token-Usage"), "450,210");
    EXPECT_EQ(sent.headers.find("Anvilyard-Deadline-Ms"), "1234");
    EXPECT_EQ(sent.headers.find("Anvilyard-Expect-Instance"), "i-1");
    EXPECT_EQ(sent.headers.find("Last-Event-Id"), "12");
    EXPECT_EQ(sent.headers.find("X-Other"), "2");
    for (auto const *const dropped : {"Connection", "X-Mine", "Keep-Alive", "Content-Length", "Expect"})
        EXPECT_FALSE(sent.headers.contains(dropped)) << dropped;
}

TEST(FleetProtocolTest, TheHeadOfARequestIsParsed)
{
    auto const head = protocol.readOnlineRequest(requestOf("POST",
                                                           "/s/1",
                                                           {{"Anvilyard-Attempt-Id", "id1"},
                                                            {"Anvilyard-Deadline-Ms", "5000"},
                                                            {"Last-Event-Id", "3"},
                                                            {"Anvilyard-Prompt-Prefix", "5c:800,91:410,e4:250"}}),
                                                 std::nullopt);
    ASSERT_TRUE(head);
    EXPECT_EQ(head->id, RequestId("id1"));
    EXPECT_EQ(head->timeLeft, 5s);
    EXPECT_EQ(head->lastEventId, 3U);
    EXPECT_EQ(head->prefix.hashes().size(), 3U);
    auto const other = protocol.readOnlineRequest(
        requestOf("POST", "/s/1", {{"Anvilyard-Attempt-Id", "x"}, {"Anvilyard-Prompt-Prefix", "5c:800,92:1"}}), std::nullopt);
    EXPECT_EQ(other->prefix.hashes()[0], head->prefix.hashes()[0]);
    EXPECT_NE(other->prefix.hashes()[1], head->prefix.hashes()[1]);
    EXPECT_EQ(protocol.readOnlineRequest(requestOf("POST", "/s/1"), std::nullopt).error().code, ServingError::BadRequest);
    auto const odd = protocol.readOnlineRequest(
        requestOf("POST", "/s/1", {{"Anvilyard-Attempt-Id", "x"}, {"Anvilyard-Deadline-Ms", "soon"}}), std::nullopt);
    EXPECT_FALSE(odd->timeLeft) << "a time that cannot be parsed is ignored";
}

/// Guards against taking two parts for one, or one for two: prompts share parts at any position, and the last one is no shared part.
TEST(FleetProtocolTest, SharedPartsOfAPromptAreReadByTheirIds)
{
    auto const partsOf = [](std::string const &text) { return protocol.readPromptParts({{"Anvilyard-Prompt-Prefix", text}}); };
    auto const parts = partsOf("5c:800,91:410,e4:250");
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_NE(parts[0], parts[1]);
    EXPECT_EQ(partsOf("91:410,77:1")[0], parts[1]);
    EXPECT_TRUE(partsOf("e4:250").empty());
    EXPECT_TRUE(partsOf("").empty());
    EXPECT_TRUE(protocol.readPromptParts({}).empty());
}

/// A request comes again, as another attempt with less time left and from another position, or as an item of a batch job. Guards against
/// taking the repeat for another request, and against taking requests for one that differ in what they ask for or in their caller.
TEST(FleetProtocolTest, ARepeatedRequestHasTheSameFingerprint)
{
    auto const fingerprintOf = [](Http::HttpRequest request, std::string const &id) {
        request.headers.set("Anvilyard-Attempt-Id", id);
        return protocol.readOnlineRequest(request, std::nullopt)->fingerprint;
    };
    Http::HttpRequest const request{.method = "POST", .target = "/s/1", .headers = {{"Host", "h.example"}}, .body = "hello"};
    auto const fingerprint = fingerprintOf(request, "a");
    auto repeat = request;
    repeat.headers.set("Anvilyard-Deadline-Ms", "20");
    repeat.headers.set("Last-Event-Id", "3");
    EXPECT_EQ(fingerprintOf(repeat, "b"), fingerprint);
    EXPECT_EQ(protocol.fingerprintOf({.id = Jobs::ItemId("i"), .target = "/s/1", .body = "hello"}, "h.example", std::nullopt), fingerprint);

    auto const changed = [&](auto change) {
        auto other = request;
        change(other);
        return fingerprintOf(other, "a");
    };
    EXPECT_NE(changed([](auto &other) { other.method = "PUT"; }), fingerprint);
    EXPECT_NE(changed([](auto &other) { other.target = "/s/2"; }), fingerprint);
    EXPECT_NE(changed([](auto &other) { other.headers.set("Host", "g.example"); }), fingerprint);
    EXPECT_NE(changed([](auto &other) { other.headers.set("Authorization", "Bearer x"); }), fingerprint);
    EXPECT_NE(changed([](auto &other) { other.body = "hallo"; }), fingerprint);
}

/// Guards against a request that escapes its quarantine by another key of its customer, or as an item of a job, and against one customer's
/// request that is taken for another's.
TEST(FleetProtocolTest, ACustomerReplacesTheKeyInAFingerprint)
{
    auto const fingerprintOf = [](std::string const &key, std::optional<CustomerId> const &customer) {
        auto const request = Http::HttpRequest{
            .method = "POST",
            .target = "/s/1",
            .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", "a"}, {"Authorization", key}},
            .body = "hello",
        };
        return protocol.readOnlineRequest(request, customer)->fingerprint;
    };
    auto const north = fingerprintOf("Token k1", CustomerId("north"));
    EXPECT_EQ(fingerprintOf("Token k2", CustomerId("north")), north);
    EXPECT_NE(fingerprintOf("Token k1", CustomerId("south")), north);
    EXPECT_NE(fingerprintOf("Token k1", CustomerId()), north);
    EXPECT_NE(fingerprintOf("Token k1", std::nullopt), fingerprintOf("Token k2", std::nullopt));
    Jobs::JobItem const item{.id = Jobs::ItemId("i"), .target = "/s/1", .body = "hello"};
    EXPECT_EQ(protocol.fingerprintOf(item, "h.example", CustomerId("north")), north);
}

TEST(FleetProtocolTest, ResponseTraitsAreReadFromStatusAndHeaders)
{
    struct Case {
        int status;
        Http::Headers headers;
        bool isSigned;
        bool isNotRun;
        bool isEncoded;
    };
    std::vector<Case> const cases = {
        {200, {{"Anvilyard-Response-Signature", "s"}}, true, false, false},
        {200, {}, false, false, false},
        {200, {{"Anvilyard-Response-Signature", "s"}, {"Content-Encoding", "gzip"}}, true, false, true},
        {503, {{"Anvilyard-Not-Executed", "1"}}, false, true, false},
        {503, {}, false, false, false},
        {429, {}, false, false, false},
        {421, {}, false, true, false},
    };
    for (auto const &[status, headers, isSigned, isNotRun, isEncoded] : cases) {
        auto const traits = protocol.readResponseHead({.status = status, .headers = headers});
        EXPECT_EQ(traits.isSigned, isSigned) << status;
        EXPECT_EQ(traits.isNotRun, isNotRun) << status;
        EXPECT_EQ(traits.isEncoded, isEncoded) << status;
    }
    EXPECT_EQ(protocol.readResponseHead({.headers = {{"anvilyard-attempt-id", "7"}}}).answeredRequest, RequestId("7"));
}

/// Guards against missing that a server leaves, and against taking a statement for another server's: a 421 comes from the server that has
/// the address now.
TEST(FleetProtocolTest, AResponseStatesWhetherItsServerIsLeaving)
{
    for (auto const status : {200, 404, 429, 500, 503})
        EXPECT_TRUE(protocol.readResponseHead({.status = status, .headers = {{"server-leaving", "1"}}}).isServerLeaving) << status;
    EXPECT_FALSE(protocol.readResponseHead({.status = 421, .headers = {{"Server-Leaving", "1"}}}).isServerLeaving);
    EXPECT_FALSE(protocol.readResponseHead({.status = 200, .headers = {{"Server-Leaving", "0"}}}).isServerLeaving);
    EXPECT_FALSE(protocol.readResponseHead({.status = 200}).isServerLeaving);
    EXPECT_EQ(protocol.readResponseHead({.status = 200, .headers = {{"Anvilyard-Instance-Id", "i-1"}}}).server, ServerId("i-1"));
}

/// A server names a limit that is no rate, or another server responds. Guards against taking it for a limit, or for the end of one.
TEST(FleetProtocolTest, AResponseStatesTheLimitOfItsServer)
{
    using Kind = Serving::StatedLimit::Kind;
    auto const limitOf = [](int status, Http::Headers headers) {
        return protocol.readResponseHead({.status = status, .headers = std::move(headers)}).limit;
    };
    for (auto const &[text, rate] :
         std::vector<std::pair<std::string, double>>{{"2.5", 2.5}, {"0", 0}, {"40", 40}, {"1000000000000", 1e12}}) {
        auto const limit = limitOf(503, {{"server-limit", text}});
        EXPECT_EQ(limit.kind, Kind::Limited) << text;
        EXPECT_EQ(limit.rate, Serving::RequestRate(rate)) << text;
    }
    for (auto const *text : {"", "-1", "nan", "inf", "2.5 a second", "two", " 2"})
        EXPECT_EQ(limitOf(200, {{"Server-Limit", text}}).kind, Kind::Unreadable) << text;
    EXPECT_EQ(limitOf(200, {{"Anvilyard-Response-Signature", "s"}}).kind, Kind::Unlimited);
    EXPECT_EQ(limitOf(500, {{"Anvilyard-Response-Signature", "s"}}).kind, Kind::Unlimited);
    EXPECT_EQ(limitOf(200, {}).kind, Kind::NotStated) << "a health check";
    EXPECT_EQ(limitOf(421, {{"Server-Limit", "2"}}).kind, Kind::NotStated);
}

/// Guards against weighing a server by a malformed statement, or by that of another server.
TEST(FleetProtocolTest, AResponseStatesTheLoadAndSpeedOfItsServer)
{
    auto const loadOf = [](int status, std::string text) {
        return protocol.readResponseHead({.status = status, .headers = {{"anvilyard-instance-load", std::move(text)}}}).load;
    };
    auto const load = loadOf(200, "8,3,8,250");
    EXPECT_EQ(load.running, 8);
    EXPECT_EQ(load.waiting, 3);
    EXPECT_EQ(load.slots, 8);
    EXPECT_EQ(load.slowness, 2.5);
    EXPECT_EQ(loadOf(503, "8,3,8,100").slowness, 1);
    for (auto const *text : {"8,3,8", "", "8", "8,3", "8,3,8,", "8,3,8,0", "8,3,8,-100", "8,3,8,nan", "8,3,8,inf", "8,3,8,x", "8;3;8;250"})
        EXPECT_FALSE(loadOf(200, text).slowness) << text;
    EXPECT_FALSE(loadOf(421, "8,3,8,250").slowness);
    EXPECT_FALSE(protocol.readResponseHead({.status = 200}).load.slowness);
}

TEST(FleetProtocolTest, JobCallsAreDistinguishedFromRequests)
{
    auto const read = protocol.readJobCall(requestOf("GET", "/api/lots/j1?after=12", {{"Anvilyard-Wait-Ms", "1000"}}));
    ASSERT_TRUE(read && *read);
    auto const &results = std::get<Node::ReadResults>(**read);
    EXPECT_EQ(results.job, JobId("j1"));
    EXPECT_EQ(results.from, 12U);
    EXPECT_EQ(results.wait, 1s);
    auto const body = protocol.readJobCall(requestOf("GET", "/api/items/j1?id=i%201"));
    EXPECT_EQ(std::get<Node::ReadItemBody>(**body).item, Jobs::ItemId("i 1"));
    auto const end = protocol.readJobCall(requestOf("DELETE", "/api/lots/j1"));
    EXPECT_EQ(std::get<Node::EndJob>(**end).job, JobId("j1"));
    EXPECT_FALSE(*protocol.readJobCall(requestOf("GET", "/api/lots/j1?after=-1")));
    for (auto const &request : {requestOf("POST", "/api/lots/j1"), requestOf("GET", "/api/lots/"), requestOf("GET", "/s/1")})
        EXPECT_FALSE(protocol.readJobCall(request)) << request.target;
}

TEST(FleetProtocolTest, ASubmissionIsParsedAndItsItemsBecomeRequests)
{
    auto const submission = protocol.readSubmission(
        requestOf("POST",
                  "/b/1",
                  {{"Anvilyard-Attempt-Id", "j1"}},
                  R"({"items":[{"id":"i1","path":"/b/3/9","headers":{"Anvilyard-Model":"m"},"body":"q83vEjRWeJA=","tokens":940}]})"));
    ASSERT_TRUE(submission) << submission.error().toString();
    EXPECT_EQ(submission->id, JobId("j1"));
    ASSERT_EQ(submission->items.size(), 1U);
    EXPECT_EQ(submission->items[0].body, "\xab\xcd\xef\x12\x34\x56\x78\x90");
    auto const sent = protocol.makeServerRequest(submission->items[0], "a.example", {.server = ServerId("s"), .lastEventId = 4});
    EXPECT_EQ(sent.target, "/b/3/9");
    EXPECT_EQ(sent.headers.find("Host"), "a.example");
    EXPECT_EQ(sent.headers.find("Anvilyard-Attempt-Id"), "i1");
    EXPECT_EQ(sent.headers.find("Anvilyard-Model"), "m");
    EXPECT_EQ(sent.headers.find("Last-Event-Id"), "4");
    EXPECT_FALSE(sent.headers.contains("Anvilyard-Deadline-Ms"));
}

TEST(FleetProtocolTest, MalformedSubmissionsAreRefused)
{
    std::string const item = R"({"id":"i","path":"/b/","headers":{},"body":"","tokens":1})";
    std::string many = item;
    for (int count = 1; count < 201; ++count)
        many += "," + item;
    for (std::string const &body : {std::string(),
                                    std::string("{}"),
                                    std::string(R"({"items":[]})"),
                                    std::string(R"({"items":[{}]})"),
                                    std::string(R"({"items":[{"id":"i","path":"/","headers":{},"body":"!","tokens":1}]})"),
                                    R"({"items":[)" + many + "]}"}) {
        auto const submission = protocol.readSubmission(requestOf("POST", "/b/1", {{"Anvilyard-Attempt-Id", "j"}}, body));
        EXPECT_EQ(submission.error().code, ServingError::BadRequest) << body.substr(0, 80);
    }
    EXPECT_FALSE(protocol.readSubmission(requestOf("POST", "/b/1", {}, R"({"items":[)" + item + "]}")));
}

/// Line ends in what an item names would end the head of its request early. Guards against headers and requests that are smuggled so.
TEST(FleetProtocolTest, ItemsThatCannotBeSentAsRequestsAreRefused)
{
    auto const read = [](std::string const &id, std::string const &path, std::string const &name, std::string const &value) {
        return protocol.readSubmission(requestOf("POST",
                                                 "/b/1",
                                                 {{"Anvilyard-Attempt-Id", "j"}},
                                                 R"({"items":[{"id":")" + id + R"(","path":")" + path + R"(","headers":{")" + name
                                                     + R"(":")" + value + R"("},"body":"","tokens":1}]})"));
    };
    EXPECT_TRUE(read("i", "/b/1?a=%20b", "X-Note", "a, b;\\tc \\u00e4"));
    for (auto const *text : {"\\r\\n\\r\\nPOST /x HTTP/1.1", "a\\nb", "a\\rb", "a\\u0000b"}) {
        for (auto const &submission :
             {read(text, "/b/1", "X", ""), read("i", text, "X", ""), read("i", "/b/1", text, ""), read("i", "/b/1", "X", text)}) {
            ASSERT_FALSE(submission) << text;
            EXPECT_EQ(submission.error().code, ServingError::BadRequest);
            EXPECT_EQ(submission.error().detail.find_first_of("\r\n"), std::string::npos) << submission.error().detail;
        }
    }
    for (auto const *path : {"", "/b/1 HTTP/1.1"})
        EXPECT_FALSE(read("i", path, "X", "")) << path;
    for (auto const *name : {"", "X Y", "X:"})
        EXPECT_FALSE(read("i", "/b/1", name, "")) << name;
}

/// Guards against items whose headers change the framing of their requests.
TEST(FleetProtocolTest, HeadersOfAConnectionAreNotPartOfAnItem)
{
    Jobs::JobItem const item{.id = Jobs::ItemId("i"),
                             .target = "/b/1",
                             .headers = {{"Transfer-Encoding", "chunked"},
                                         {"Content-Length", "1000"},
                                         {"Connection", "close, X-Hop"},
                                         {"X-Hop", "1"},
                                         {"Expect", "100-continue"},
                                         {"X-Kept", "1"}}};
    auto const sent = protocol.makeServerRequest(item, "a.example", {.server = ServerId("s")});
    for (auto const *name : {"Transfer-Encoding", "Content-Length", "Connection", "X-Hop", "Expect"})
        EXPECT_FALSE(sent.headers.contains(name)) << name;
    EXPECT_TRUE(sent.headers.contains("X-Kept"));
}

TEST(FleetProtocolTest, ResultsAreWritten)
{
    auto const response = protocol.writeResults(
        {.total = 40,
         .next = 14,
         .outcomes = {{.id = Jobs::ItemId("a"), .output = "x\n\"y\""}, {.id = Jobs::ItemId("b"), .state = Jobs::OutcomeState::GivenUp}}});
    auto const body = boost::json::parse(response.body).as_object();
    EXPECT_EQ(body.at("total").to_number<int>(), 40);
    EXPECT_EQ(body.at("nextToken").to_number<int>(), 14);
    auto const &results = body.at("results").as_array();
    EXPECT_EQ(results[0].at("state").as_string(), "completed");
    EXPECT_EQ(results[0].at("output").as_string(), "x\n\"y\"");
    EXPECT_EQ(results[1].at("state").as_string(), "dead_letter");
}

TEST(FleetProtocolTest, RetryAfterIsInSecondsAndNeverZero)
{
    EXPECT_EQ(protocol.writeRetryAfter(0ms), "0.1");
    EXPECT_EQ(protocol.writeRetryAfter(101ms), "0.2");
    EXPECT_EQ(protocol.writeRetryAfter(1500ms), "1.5");
}

TEST(FleetProtocolTest, RetirementsAreReported)
{
    EXPECT_TRUE(protocol.isRetirementCompleted(protocol.writeRetirement(Node::RetirementState::Completed)));
    EXPECT_FALSE(protocol.isRetirementCompleted(protocol.writeRetirement(Node::RetirementState::Running)));
    for (auto const *const text : {"", "null", "{}", R"({"state":1})"})
        EXPECT_FALSE(protocol.isRetirementCompleted(text));
}
