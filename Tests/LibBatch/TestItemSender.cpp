// Items sent to a server over connections, and what is left of a streamed response when an item is preempted.
#include "LibBatch/ItemSender.h"
#include "LibHttp/HttpServer.h"
#include "Tests/LibHttp/LoopThread.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Batch;
using Anvilyard::Tests::LoopThread;

namespace {

constexpr std::uint32_t Tokens = 900;
constexpr std::uint32_t FirstToken = 100;
constexpr std::string_view ResumePath = "/v1/completions/c-1/resume";

std::string tokenEvents(std::uint32_t from, std::uint32_t to)
{
    std::string events;
    for (auto token = from; token < to; ++token)
        events += R"(data: {"id":"c-1","object":"text_completion","choices":[{"text":"t)" + std::to_string(FirstToken + token) + R"( "}]})"
            + "\n\n";
    return events;
}

class ItemSenderTest : public ::testing::Test
{
protected:
    using Writer = std::shared_ptr<Http::ResponseWriter>;
    using Script = std::function<void(Http::HttpRequest const &, Writer const &)>;

    void serve(Script script)
    {
        tracer_ = std::move(*Observe::Tracer::create({}));
        thread_.call([&] {
            server_ =
                std::move(*Http::HttpServer::create(thread_.loop(),
                                                    {.listen = Address("127.0.0.1:0")},
                                                    [script = std::move(script)](auto request, auto writer) { script(request, writer); }));
            sender_ = std::make_unique<ItemSender>(ItemSenderOptions{
                .loop = thread_.loop(),
                .tracer = *tracer_,
                .route = [this](ServerId const &, ServiceName const &) { return ServerRoute{.address = server_->address(), .model = "m"}; },
                .onEnd = [this](AttemptRef const &, AttemptResult result) { results_.push_back(std::move(result)); },
                .onTokenInterval = [this](ServerId const &, Duration) { hasTokens_ = true; },
            });
        });
    }

    void TearDown() override
    {
        thread_.call([this] {
            sender_.reset();
            server_.reset();
        });
    }

    static AttemptRef attempt(std::uint64_t run)
    {
        return {.chunk = {.job = JobId("j"), .chunk = ChunkIndex(0)}, .item = 0, .run = run};
    }

    void send(std::uint64_t run)
    {
        thread_.call([&] {
            sender_->send({.item = attempt(run),
                           .server = ServerId("s1"),
                           .spec = {.customId = "a",
                                    .url = "/v1/completions",
                                    .service = ServiceName("m"),
                                    .body = R"({"model":"m","prompt":"x","max_tokens":100})"}});
        });
    }

    void preempt(std::uint64_t run)
    {
        thread_.call([&] { sender_->stop({.item = attempt(run), .reason = StopItem::Reason::Preempted}); });
    }

    void waitUntil(std::function<bool()> const &condition)
    {
        for (auto const end = readLocalClock() + 10s; readLocalClock() < end; std::this_thread::sleep_for(2ms)) {
            if (thread_.call(condition))
                return;
        }
        FAIL() << "nothing happened in time";
    }

    LoopThread thread_;
    std::unique_ptr<Observe::Tracer> tracer_;
    std::unique_ptr<Http::HttpServer> server_;
    std::unique_ptr<ItemSender> sender_;
    std::vector<AttemptResult> results_;
    bool hasTokens_ = false;
};

} // namespace

// Each piece that the server sends ends within a line, and the item is preempted after some of them. Guards against the part of a line that
// is joined with the resumed stream, and against tokens that are missing or taken twice.
TEST_F(ItemSenderTest, AResponsePreemptedWithinALineIsResumedAfterItsLastToken)
{
    std::vector<std::string> targets;
    Writer held;
    serve([&](Http::HttpRequest const &request, Writer const &writer) {
        targets.push_back(request.target);
        writer->start({.status = 200, .headers = {{"Content-Type", "text/event-stream"}}});
        if (request.target != ResumePath) {
            held = writer;
            return;
        }
        auto const offset = boost::json::parse(request.body).at("offset").to_number<std::uint32_t>();
        writer->write(tokenEvents(offset, Tokens) + "data: [DONE]\n\n", nullptr);
        writer->finish();
    });
    send(1);
    waitUntil([&] { return held != nullptr; });
    auto const stream = tokenEvents(0, Tokens);
    auto const step = tokenEvents(0, 1).size();
    // All events have the same size, so each piece ends in the middle of one.
    for (std::size_t position = 0; !thread_.call([&] { return hasTokens_; }); position += step) {
        ASSERT_LT(position + step, stream.size());
        auto const size = position == 0 ? step + step / 2 : step;
        auto const begin = position == 0 ? 0 : position + step / 2;
        thread_.call([&] { held->write(stream.substr(begin, size), nullptr); });
        std::this_thread::sleep_for(5ms);
    }
    preempt(1);
    send(2);
    waitUntil([&] { return !results_.empty(); });
    thread_.call([&] { held.reset(); });
    EXPECT_EQ(targets.at(1), ResumePath);
    ASSERT_EQ(results_[0].kind, AttemptResult::Kind::Succeeded);
    std::string text;
    for (std::uint32_t token = 0; token < Tokens; ++token)
        text += "t" + std::to_string(FirstToken + token) + " ";
    EXPECT_EQ(boost::json::parse(results_[0].response.body).at("choices").at(0).at("text").as_string(), text);
}
