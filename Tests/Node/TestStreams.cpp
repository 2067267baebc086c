#include "Tests/Fakes/ScriptedServer.h"
#include "Tests/Node/NodeFixture.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>
#include <set>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

/// What a server does with one send.
enum class Behaviour {
    Whole,
    /// The connection ends after any byte of the response, its head included.
    CutAnywhere,
    CutWithinFirstEvent,
    CutAtEventBorder,
    /// The framing states a complete response, but its last event is not complete.
    EndsWithinEvent,
    SkipsEvent,
    RepeatsEvents,
    IgnoresLastEventId,
    /// An event has no readable id, or an extra event has none.
    LosesId,
    NotExecuted,
    Fails,
    Rejects,
    Unsigned,
    PlainText,
    Silent,
    SilentWithinStream,
    /// A response to another request comes in place of the response, which follows.
    SurplusBefore,
    SurplusAfter,
};

/// Weights of the behaviours. Silent servers cost time.
constexpr std::array Drawn = {
    Behaviour::Whole,
    Behaviour::Whole,
    Behaviour::Whole,
    Behaviour::Whole,
    Behaviour::CutAnywhere,
    Behaviour::CutAnywhere,
    Behaviour::CutAnywhere,
    Behaviour::CutWithinFirstEvent,
    Behaviour::CutAnywhere,
    Behaviour::CutAnywhere,
    Behaviour::CutAnywhere,
    Behaviour::CutWithinFirstEvent,
    Behaviour::CutAtEventBorder,
    Behaviour::CutAtEventBorder,
    Behaviour::EndsWithinEvent,
    Behaviour::EndsWithinEvent,
    Behaviour::SkipsEvent,
    Behaviour::SkipsEvent,
    Behaviour::RepeatsEvents,
    Behaviour::RepeatsEvents,
    Behaviour::IgnoresLastEventId,
    Behaviour::IgnoresLastEventId,
    Behaviour::LosesId,
    Behaviour::LosesId,
    Behaviour::NotExecuted,
    Behaviour::NotExecuted,
    Behaviour::Fails,
    Behaviour::Rejects,
    Behaviour::Unsigned,
    Behaviour::PlainText,
    Behaviour::SurplusBefore,
    Behaviour::SurplusAfter,
    Behaviour::SurplusBefore,
    Behaviour::SurplusAfter,
    Behaviour::Silent,
    Behaviour::SilentWithinStream,
};

/// Random numbers that depend only on the numbers given, so that concurrent requests do not influence each other.
class Draw
{
public:
    Draw(std::initializer_list<std::uint64_t> numbers)
    {
        std::seed_seq seeds(numbers);
        random_.seed(seeds);
    }

    /// Returns a number in [from, to).
    std::uint64_t number(std::uint64_t from, std::uint64_t to)
    {
        return from + random_() % (to - from);
    }

    bool chance(std::uint64_t oneIn)
    {
        return number(0, oneIn) == 0;
    }

private:
    std::mt19937_64 random_;
};

/// One send of a request to a server.
struct Send {
    std::size_t server = 0;
    Behaviour behaviour = Behaviour::Whole;
    /// Distinguishes the bytes of this send from those of all others. Also its signature.
    std::string run;
    std::optional<std::uint64_t> askedAfter;
    int status = 200;
    /// Body of a response that is not an event stream.
    std::string plainBody;
};

/// One request of a caller, what servers did with it and what the caller received.
struct Call {
    enum class End {
        Open,
        Complete,
        Broken,
    };

    std::string id;
    std::uint64_t number = 0;
    std::string route;
    bool isResumable = false;
    std::size_t maxServers = 1;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::optional<std::uint64_t> lastId;

    std::vector<Send> sends;

    Http::ResponseHead head;
    std::string body;
    End outcome = End::Open;
};

/// Event `id` of a run. Line ends, sizes and further lines vary.
std::string eventOf(std::string const &run, std::uint64_t id, std::string const &idLine)
{
    std::string const end = id % 3 == 0 ? "\r\n" : "\n";
    std::string text = id % 4 == 3 ? "anvilyard-weight-versions: 7" + end : "";
    if (!idLine.empty())
        text += idLine + end;
    text += "data: " + run + "/" + std::to_string(id) + std::string(id % 7 == 5 ? 3000 : id % 5, '.') + end;
    if (id % 5 == 4)
        text += "data: more" + end;
    return text + end;
}

std::string eventOf(std::string const &run, std::uint64_t id)
{
    return eventOf(run, id, "id: " + std::to_string(id));
}

/// The events that a server sends for one send, unframed.
std::vector<std::string> eventsOf(Call const &call, Send const &send, Draw &draw)
{
    auto from = send.askedAfter ? *send.askedAfter + 1 : call.first;
    if (send.behaviour == Behaviour::IgnoresLastEventId)
        from = call.first;
    std::vector<std::string> events;
    for (auto id = from; id < call.end; ++id)
        events.push_back(eventOf(send.run, id));
    // No one can tell which is the first event of a stream, or that its last one is missing.
    std::size_t const certainFrom = send.askedAfter ? 0 : 1;
    if (events.size() < certainFrom + 2)
        return events;
    auto const at = draw.number(certainFrom, events.size() - 1);
    auto const position = events.begin() + static_cast<std::ptrdiff_t>(at);
    if (send.behaviour == Behaviour::SkipsEvent) {
        events.erase(position);
    } else if (send.behaviour == Behaviour::RepeatsEvents) {
        auto const back = draw.number(0, at + 1);
        std::vector<std::string> const again(events.begin() + static_cast<std::ptrdiff_t>(back), position + 1);
        events.insert(position + 1, again.begin(), again.end());
    } else if (send.behaviour == Behaviour::LosesId) {
        std::array<std::string, 4> const idLines = {"", "id: x", "i: 3", "id: " + std::to_string(from + at) + "x"};
        auto const event = eventOf(send.run, from + at, idLines.at(draw.number(0, idLines.size())));
        if (draw.chance(2))
            *position = event;
        else
            events.insert(position, event);
    }
    return events;
}

enum class Framing {
    Chunked,
    Length,
    Close,
};

std::string headText(int status, std::string const &id, std::string const &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Scripted\r\nAnvilyard-Attempt-Id: " + id + "\r\n" + fields;
}

std::string signatureField(std::string const &run)
{
    return "Anvilyard-Response-Signature: " + run + "\r\n";
}

std::string withLength(std::string const &head, std::string const &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunkOf(std::string_view bytes)
{
    std::array<char, 17> size{};
    auto const end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    return std::string(size.data(), end) + "\r\n" + std::string(bytes) + "\r\n";
}

std::string framed(std::string const &head, std::string_view body, Framing framing, Draw &draw)
{
    switch (framing) {
    case Framing::Length:
        return withLength(head, std::string(body));
    case Framing::Close:
        return head + "\r\n" + std::string(body);
    case Framing::Chunked:
        break;
    }
    auto text = head + "Transfer-Encoding: chunked\r\n\r\n";
    while (!body.empty()) {
        auto const size = draw.number(1, body.size() + 1);
        text += chunkOf(body.substr(0, size));
        body.remove_prefix(size);
    }
    return text + "0\r\n\r\n";
}

std::optional<std::string> fieldOf(std::string const &head, std::string const &name)
{
    auto const begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos)
        return std::nullopt;
    auto const value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

/// The calls of one seed by their ids, shared with the servers' connections.
struct Table {
    std::uint64_t seed = 0;
    std::map<std::string, Call> calls;
};

void respondWithEvents(Call const &call, Send const &send, ScriptedServer::Connection &connection, Draw &draw)
{
    auto const events = eventsOf(call, send, draw);
    std::string body;
    for (auto const &event : events)
        body += event;
    auto const signature = send.behaviour == Behaviour::Unsigned ? "" : signatureField(send.run);
    auto const head = headText(200, call.id, signature + "Content-Type: text/event-stream\r\n");
    // Where the end of the connection ends the body, a cut at the border of an event cannot be distinguished from the end.
    bool const isCut = send.behaviour == Behaviour::CutAnywhere || send.behaviour == Behaviour::CutWithinFirstEvent
        || send.behaviour == Behaviour::CutAtEventBorder || send.behaviour == Behaviour::SilentWithinStream;
    auto const framing = std::array{Framing::Chunked, Framing::Length, Framing::Close}.at(draw.number(0, isCut ? 2 : 3));
    if (send.behaviour == Behaviour::EndsWithinEvent && !events.empty()) {
        auto const last = draw.number(0, events.size());
        body.clear();
        for (std::size_t number = 0; number < last; ++number)
            body += events[number];
        body += events[last].substr(0, draw.number(1, events[last].size()));
    }
    auto text = framed(head, body, framing, draw);
    if (send.behaviour == Behaviour::CutWithinFirstEvent || send.behaviour == Behaviour::CutAtEventBorder) {
        std::size_t kept = 0;
        if (send.behaviour == Behaviour::CutAtEventBorder) {
            auto const last = draw.number(0, events.size() + 1);
            for (std::size_t number = 0; number < last; ++number)
                kept += events[number].size();
        } else if (!events.empty()) {
            kept = draw.number(0, events[0].size());
        }
        auto const part = body.substr(0, kept);
        text = framing == Framing::Length ? head + "Content-Length: " + std::to_string(body.size() + 1) + "\r\n\r\n" + part
                                          : head + "Transfer-Encoding: chunked\r\n\r\n" + (part.empty() ? "" : chunkOf(part));
    } else if (isCut) {
        text.resize(draw.number(0, text.size()));
    }
    if (send.behaviour == Behaviour::SurplusBefore || send.behaviour == Behaviour::SurplusAfter) {
        auto const foreignHead = headText(200, "another-request", signatureField("foreign") + "Content-Type: text/event-stream\r\n");
        auto const foreign = framed(foreignHead, eventOf("foreign", 0) + eventOf("foreign", 1), Framing::Chunked, draw);
        if (send.behaviour == Behaviour::SurplusBefore)
            text = foreign + text;
        else if (framing != Framing::Close)
            text += foreign;
    }
    connection.send(text);
    if ((isCut && send.behaviour != Behaviour::SilentWithinStream) || framing == Framing::Close)
        connection.close();
}

void respond(Table &table, std::size_t server, ScriptedServer::Connection &connection)
{
    auto const found = table.calls.find(fieldOf(connection.head(), "Anvilyard-Attempt-Id").value_or(""));
    // Anything else is a probe.
    if (found == table.calls.end())
        return connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    auto &call = found->second;
    Draw draw{table.seed, call.number, call.sends.size()};
    Send send{.server = server, .behaviour = Drawn.at(draw.number(0, Drawn.size()))};
    send.run = call.id + "." + std::to_string(call.sends.size());
    if (auto const after = fieldOf(connection.head(), "Last-Event-Id"))
        send.askedAfter = std::stoull(*after);
    auto const sendPlain = [&](int status, std::string const &fields) {
        send.status = status;
        send.plainBody = "not events, of " + send.run;
        connection.send(withLength(headText(status, call.id, fields + "Content-Type: text/plain\r\n"), send.plainBody));
    };
    switch (send.behaviour) {
    case Behaviour::NotExecuted:
        sendPlain(503, signatureField(send.run) + "Anvilyard-Not-Executed: 1\r\n");
        break;
    case Behaviour::Fails:
        sendPlain(500, signatureField(send.run));
        break;
    case Behaviour::Rejects:
        sendPlain(422, signatureField(send.run));
        break;
    case Behaviour::PlainText:
        sendPlain(200, signatureField(send.run));
        break;
    case Behaviour::Silent:
        break;
    default:
        respondWithEvents(call, send, connection, draw);
    }
    call.sends.push_back(std::move(send));
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string describe(Call const &call)
{
    auto const idText = [](std::optional<std::uint64_t> id) { return id ? std::to_string(*id) : std::string("none"); };
    auto text = call.route + " " + call.id + ": events " + std::to_string(call.first) + " to " + std::to_string(call.end) + " after "
        + idText(call.lastId) + ", sends (server, behaviour, asked after):";
    for (auto const &send : call.sends)
        text += " (" + std::to_string(send.server) + ", " + std::to_string(static_cast<int>(send.behaviour)) + ", "
            + idText(send.askedAfter) + ")";
    return text + ", status " + std::to_string(call.head.status)
        + (call.outcome == Call::End::Complete ? ", complete, body:\n" : ", broken, body:\n") + call.body;
}

void checkSends(Call const &call)
{
    std::set<std::size_t> servers;
    std::size_t possibleRuns = 0;
    auto after = call.lastId;
    for (auto const &send : call.sends) {
        EXPECT_GE(send.askedAfter, after) << "a resume goes back";
        after = send.askedAfter;
        if (send.behaviour == Behaviour::NotExecuted)
            continue;
        ++possibleRuns;
        servers.insert(send.server);
    }
    EXPECT_LE(servers.size(), call.maxServers);
    if (!call.isResumable) {
        EXPECT_LE(possibleRuns, 1U);
    }
    if (promisesNotRun(call.head.status)) {
        EXPECT_EQ(possibleRuns, 0U);
    }
}

/// Checks the events that the caller has received and returns the number of runs that they are from.
std::size_t checkEvents(Call const &call, Send const &signer)
{
    auto next = call.lastId ? *call.lastId + 1 : call.first;
    std::string_view rest = call.body;
    Send const *current = nullptr;
    std::size_t runs = 0;
    while (!rest.empty()) {
        auto const from =
            std::find_if(call.sends.begin(), call.sends.end(), [&](Send const &send) { return rest.starts_with(eventOf(send.run, next)); });
        if (from == call.sends.end()) {
            ADD_FAILURE() << "no server sent this in place of event " << next << ": " << rest.substr(0, 200);
            return runs;
        }
        if (&*from != current) {
            ++runs;
            EXPECT_GT(&*from, current) << "an earlier run goes on at event " << next;
            EXPECT_EQ(from->askedAfter, current || call.lastId ? std::optional(next - 1) : std::nullopt);
            if (!current) {
                EXPECT_EQ(from->run, signer.run) << "the headers are those of the first server";
            }
            current = &*from;
        }
        rest.remove_prefix(eventOf(from->run, next).size());
        ++next;
    }
    if (call.outcome == Call::End::Complete) {
        EXPECT_EQ(next, call.end) << "the stream looks complete without its last events";
    }
    return runs;
}

struct Totals {
    std::size_t complete = 0;
    std::size_t completeOfSeveralRuns = 0;
    std::size_t broken = 0;
    std::size_t refused = 0;
};

void check(Call const &call, Totals &totals)
{
    checkSends(call);
    ASSERT_NE(call.outcome, Call::End::Open);
    bool const isComplete = call.outcome == Call::End::Complete;
    totals.broken += isComplete ? 0 : 1;
    auto const signature = call.head.headers.find("Anvilyard-Response-Signature");
    auto const signer = std::find_if(call.sends.begin(), call.sends.end(), [&](Send const &send) { return send.run == signature; });
    if (call.head.status == 200 || signature) {
        ASSERT_NE(signer, call.sends.end()) << "the signature is of no send of this request";
        EXPECT_EQ(call.head.status, signer->status);
    }
    if (call.head.status != 200)
        ++totals.refused;
    if (call.head.status == 200 && signer->plainBody.empty()) {
        auto const runs = checkEvents(call, *signer);
        totals.complete += isComplete ? 1 : 0;
        totals.completeOfSeveralRuns += isComplete && runs > 1 ? 1 : 0;
    } else if (signature) {
        EXPECT_TRUE(isComplete);
        EXPECT_EQ(call.body, signer->plainBody);
    }
}

class StreamsTest
    : public NodeTest
    , public ::testing::WithParamInterface<std::uint64_t>
{
protected:
    /// So many that enough of them are left in use when most have been ejected.
    static constexpr std::size_t Servers = 9;
    static constexpr std::size_t Callers = 16;
    static constexpr std::size_t CallsPerCaller = 16;

    void SetUp() override
    {
        auto const route = [](std::string const &name, std::string const &rest) {
            return R"(,{"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name
                + R"(/","kind":"streaming","timeoutMs":600,"sloMs":80,"gapAimMs":80,"priority":0,"service":"p",)" + rest + "}";
        };
        putState(1,
                 route("two", R"("attempts":2,"resumable":true)") + route("three", R"("attempts":3,"resumable":true)")
                     + route("once", R"("attempts":3,"resumable":false)"));
        for (std::size_t number = 0; number < Servers; ++number) {
            thread_.call([&] {
                servers_.push_back(
                    ScriptedServer::create(thread_.loop(), [table = table_, number](ScriptedServer::Connection &connection, std::size_t) {
                        respond(*table, number, connection);
                    }));
            });
            putServer("s" + std::to_string(number), servers_.back()->address(), "ready", 100);
        }
        waitUntilReady(startNode("entry-1"));
    }

    void TearDown() override
    {
        killNode("entry-1");
        thread_.call([&] { servers_.clear(); });
    }

    void drawCalls()
    {
        for (std::uint64_t number = 0; number < Callers * CallsPerCaller; ++number) {
            Draw draw{table_->seed, number};
            Call call{.id = "r" + std::to_string(number), .number = number};
            auto const kind = draw.number(0, 5);
            call.route = kind == 0 ? "once" : kind < 3 ? "two" : "three";
            call.isResumable = kind != 0;
            call.maxServers = kind < 3 && kind != 0 ? 2 : 3;
            call.first = draw.number(0, 2);
            call.end = call.first + draw.number(1, 13);
            if (draw.chance(3))
                call.lastId = draw.number(call.first, call.end);
            table_->calls.emplace(call.id, std::move(call));
        }
    }

    /// Sends the calls of one caller one after the other. Runs on the loop.
    void callFrom(std::size_t number, std::size_t end, std::shared_ptr<std::promise<void>> const &done)
    {
        if (number == end)
            return done->set_value();
        auto &call = table_->calls.at("r" + std::to_string(number));
        Http::HttpRequest request{
            .method = "POST", .target = "/" + call.route + "/1", .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", call.id}}};
        if (call.lastId)
            request.headers.set("Last-Event-Id", std::to_string(*call.lastId));
        auto const finish = [this, number, end, done, &call](Call::End outcome) {
            call.outcome = outcome;
            // The connection is idle only after this handler.
            thread_.loop().post([this, number, end, done] { callFrom(number + 1, end, done); });
        };
        client_->send(
            {.server = nodes_.at("entry-1").program->callerAddress(), .request = std::move(request), .deadline = readLocalClock() + 60s},
            {
                .onHead = [&call](Http::ResponseHead head) { call.head = std::move(head); },
                .onPiece = [&call](std::string_view piece) { call.body += piece; },
                .onEnd = [finish] { finish(Call::End::Complete); },
                .onFailure = [finish](Http::ExchangeFailure const &) { finish(Call::End::Broken); },
            });
    }

    std::shared_ptr<Table> table_ = std::make_shared<Table>(Table{.seed = GetParam()});
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

} // namespace

/// Servers cut, spoil, repeat, refuse and delay responses at random, and callers stream and resume at the same time on reused connections.
/// Guards against a stream that looks complete and is not exactly the events after the caller's last one, against bytes that no server
/// sent or that are of two runs, and against more runs than the route allows.
TEST_P(StreamsTest, ACompleteStreamIsExactlyTheEventsAfterTheCallersLastOne)
{
    drawCalls();
    std::vector<std::future<void>> ends;
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        auto const done = std::make_shared<std::promise<void>>();
        ends.push_back(done->get_future());
        thread_.call([&] { callFrom(caller * CallsPerCaller, (caller + 1) * CallsPerCaller, done); });
    }
    for (auto &end : ends)
        end.wait();
    Totals totals;
    thread_.call([&] {
        for (auto const &[id, call] : table_->calls) {
            SCOPED_TRACE(describe(call));
            check(call, totals);
        }
    });
    // Without these the checks above would have checked little.
    EXPECT_GT(totals.complete, Callers * CallsPerCaller / 4);
    EXPECT_GT(totals.completeOfSeveralRuns, 0U);
    EXPECT_GT(totals.broken, 0U);
    EXPECT_GT(totals.refused, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StreamsTest, ::testing::Range<std::uint64_t>(1, 6));
