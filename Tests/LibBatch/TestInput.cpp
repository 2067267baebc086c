// Input of callers: lines, forms and job requests, valid and invalid.
#include "LibBatch/CompletionAssembler.h"
#include "LibBatch/InputBuilder.h"
#include "LibBatch/ItemLine.h"
#include "LibBatch/ItemSender.h"
#include "LibBatch/LineSplitter.h"
#include "LibBatch/MultipartReader.h"

#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Batch;
using ::testing::HasSubstr;

namespace {

std::string validLine(std::string const &id)
{
    return R"({"custom_id":")" + id + R"(","method":"POST","url":"/v1/completions","body":{"model":"fault-notes","prompt":"x"}})";
}

/// Splits a text at random positions.
std::vector<std::string> drawPieces(std::string const &text)
{
    std::vector<std::string> pieces;
    for (std::size_t begin = 0; begin < text.size();) {
        auto const size = *rc::gen::inRange<std::size_t>(1, 40);
        pieces.push_back(text.substr(begin, size));
        begin += size;
    }
    return pieces;
}

} // namespace

TEST(ItemLineTest, RejectsInvalidItems)
{
    struct Case {
        std::string line;
        std::string fault;
    };
    std::vector<Case> const cases = {
        {"not json", "not a JSON object"},
        {"[]", "not a JSON object"},
        {R"({"url":"/v1/completions","body":{"model":"m"}})", "custom_id"},
        {R"({"custom_id":7,"url":"/v1/completions","body":{"model":"m"}})", "custom_id"},
        {R"({"custom_id":"a","method":"GET","url":"/v1/completions","body":{"model":"m"}})", "method"},
        {R"({"custom_id":"a","url":"/v1/completions HTTP/1.1\r\nX: y","body":{"model":"m"}})", "url"},
        {R"({"custom_id":"a","url":"/v1/embeddings","body":{"model":"m"}})", "not served"},
        {R"({"custom_id":"a","url":"/v1/completions","body":"text"})", "body"},
        {R"({"custom_id":"a","url":"/v1/completions","body":{}})", "names no model"},
        {R"({"custom_id":"a","url":"/v1/completions","body":{"model":"m"},"repeat":"maybe"})", "repeat"},
    };
    for (auto const &[line, fault] : cases) {
        auto const item = parseItemLine(line);
        ASSERT_FALSE(item) << line;
        EXPECT_THAT(item.error(), HasSubstr(fault)) << line;
    }
}

TEST(ItemLineTest, ReadsServiceAndRepeatOfPlainServiceItem)
{
    auto const item = parseItemLine(R"({"custom_id":"a","url":"/services/dispatch-app/vans","body":{"van":3},"repeat":"never"})");
    ASSERT_TRUE(item);
    EXPECT_EQ(item->service, ServiceName("dispatch-app"));
    EXPECT_EQ(item->repeat, Repeat::Never);
}

// Guards against accepting an input in which two lines have the same custom_id.
TEST(InputBuilderTest, ReportsNumberOfInvalidLine)
{
    InputBuilder builder({.items = 4});
    EXPECT_FALSE(builder.addLine(validLine("a")));
    EXPECT_FALSE(builder.addLine(""));
    EXPECT_THAT(builder.addLine(validLine("a")).value(), HasSubstr("line 3: \"custom_id\" was used"));
    EXPECT_THAT(builder.addLine("{").value(), HasSubstr("line 4: not a JSON object"));
    auto const other = R"({"custom_id":"b","url":"/v1/chat/completions","body":{"model":"m"}})";
    EXPECT_THAT(builder.addLine(other).value(), HasSubstr("line 5: \"url\" differs"));
    for (auto const *id : {"c", "d", "e"})
        EXPECT_FALSE(builder.addLine(validLine(id)));
    EXPECT_THAT(builder.addLine(validLine("f")).value(), HasSubstr("more than 4 items"));
}

TEST(InputBuilderTest, CutsChunksByItemsAndBytes)
{
    InputBuilder builder({.chunkBytes = 1000, .chunkItems = 3});
    for (auto const *id : {"a", "b", "c"})
        EXPECT_FALSE(builder.addLine(validLine(id)));
    EXPECT_EQ(builder.takeFullChunk()->size(), 3U);
    auto const large = R"({"custom_id":"d","url":"/v1/completions","body":{"model":"m","prompt":")" + std::string(1200, 'x') + R"("}})";
    EXPECT_FALSE(builder.addLine(large));
    EXPECT_EQ(builder.takeFullChunk()->size(), 1U);
    EXPECT_FALSE(builder.takeLastChunk());
    EXPECT_EQ(builder.chunkItems(), (std::vector<std::uint32_t>{3, 1}));
}

RC_GTEST_PROP(LineSplitterTest, ResultIsIndependentOfPieceBoundaries, ())
{
    auto const lines = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    std::string text;
    for (auto const &line : lines)
        text += line + (*rc::gen::arbitrary<bool>() ? "\n" : "\r\n");
    LineSplitter splitter(1000);
    std::vector<std::string> seen;
    auto const keep = [&](std::string_view line) { seen.emplace_back(line); };
    for (auto const &piece : drawPieces(text))
        RC_ASSERT(splitter.feed(piece, keep) == LineSplitter::State::Good);
    RC_ASSERT(splitter.finish(keep) == LineSplitter::State::Good);
    RC_ASSERT(seen == lines);
}

TEST(LineSplitterTest, StopsAtOverlongLine)
{
    LineSplitter splitter(8);
    auto const ignore = [](std::string_view) {};
    EXPECT_EQ(splitter.feed("12345678\n1234", ignore), LineSplitter::State::Good);
    EXPECT_EQ(splitter.feed("56789", ignore), LineSplitter::State::LineTooLong);
}

// Guards against content that contains parts of a delimiter, which appear when a delimiter is split between two pieces.
RC_GTEST_PROP(MultipartReaderTest, ResultIsIndependentOfPieceBoundaries, ())
{
    auto const content = *rc::gen::container<std::string>(rc::gen::element('a', '-', '\r', '\n', 'b'));
    RC_PRE(content.find("\r\n--ab") == std::string::npos);
    auto const form = "--ab\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--ab\r\n"
                      "content-disposition: form-data; name=\"file\"; filename=\"night.jsonl\"\r\nContent-Type: text/plain\r\n\r\n"
        + content + "\r\n--ab--\r\n";
    MultipartReader reader("ab");
    std::string seen;
    auto state = MultipartReader::State::Reading;
    for (auto const &piece : drawPieces(form))
        state = reader.feed(piece, [&](std::string_view text) { seen.append(text); });
    RC_ASSERT(state == MultipartReader::State::Complete);
    RC_ASSERT(seen == content);
    RC_ASSERT(reader.filename() == "night.jsonl");
    RC_ASSERT(reader.purpose() == "batch");
}

TEST(MultipartReaderTest, RejectsMalformedForms)
{
    auto const ignore = [](std::string_view) {};
    EXPECT_EQ(MultipartReader("ab").feed("no delimiter at all", ignore), MultipartReader::State::Malformed);
    EXPECT_EQ(MultipartReader("ab").feed("--ab\r\n" + std::string(10'000, 'x'), ignore), MultipartReader::State::Malformed);
    std::string const part = "--ab\r\nContent-Disposition: form-data; name=\"file\"\r\n\r\nx\r\n";
    EXPECT_EQ(MultipartReader("ab").feed(part + part, ignore), MultipartReader::State::Malformed);
    EXPECT_EQ(MultipartReader::boundaryOf("application/jsonl"), std::nullopt);
    EXPECT_EQ(MultipartReader::boundaryOf("Multipart/Form-Data; charset=x; boundary=\"a b\""), "a b");
}

namespace {

/// Feeds the body of one response as a sender does, in the given pieces.
void takeResponse(CompletionAssembler &assembler, std::vector<std::string> const &pieces)
{
    LineSplitter lines(1000);
    for (auto const &piece : pieces)
        lines.feed(piece, [&](std::string_view line) { assembler.takeLine(line); });
}

std::string tokenEvent(std::string const &id, std::string const &token, std::string const &lineBreak = "\n")
{
    return R"(data: {"id":")" + id + R"(","model":"m","object":"text_completion","choices":[{"text":")" + token + R"("}]})" + lineBreak
        + lineBreak;
}

} // namespace

TEST(CompletionAssemblerTest, AssemblesResumedStream)
{
    CompletionAssembler assembler;
    takeResponse(assembler, {tokenEvent("c-1", "one ") + "data: {\"id\""});
    EXPECT_EQ(assembler.tokens(), 1U);
    EXPECT_FALSE(assembler.isComplete());
    takeResponse(assembler,
                 {"data: {\"id\":\"c-1\",\"choices\":[{\"text\":\"two\"}]}\r\n\r\n",
                  "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"total_tokens\":4}}\n\ndata: [DONE]\n\n"});
    ASSERT_TRUE(assembler.isComplete());
    auto const assembledResponse = boost::json::parse(assembler.assembledResponse());
    EXPECT_EQ(assembledResponse.at("choices").at(0).at("text").as_string(), "one two");
    EXPECT_EQ(assembledResponse.at("choices").at(0).at("finish_reason").as_string(), "stop");
    EXPECT_EQ(assembledResponse.at("usage").at("total_tokens").as_int64(), 4);
}

// The stream is cut at any byte by preemptions, resumed at the offset of received tokens and split into any pieces. Guards against bytes of
// a cut line that are joined with the first line of the resumed stream, and against tokens that are lost or taken twice.
RC_GTEST_PROP(CompletionAssemblerProperty, TextIsWholeAfterAnyPreemptions, ())
{
    constexpr std::uint32_t Tokens = 10;
    std::string text;
    for (std::uint32_t token = 0; token < Tokens; ++token)
        text += "t" + std::to_string(token) + " ";
    CompletionAssembler assembler;
    for (int preemptions = *rc::gen::inRange(0, 8); preemptions >= 0 && !assembler.isComplete(); --preemptions) {
        std::string stream;
        for (auto token = assembler.tokens(); token < Tokens; ++token)
            stream += tokenEvent("c-1", "t" + std::to_string(token) + " ", token % 2 == 0 ? "\n" : "\r\n");
        stream += "data: [DONE]\n\n";
        if (preemptions > 0)
            stream.resize(*rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, stream.size())));
        takeResponse(assembler, drawPieces(stream));
    }
    RC_ASSERT(assembler.isComplete());
    RC_ASSERT(assembler.tokens() == Tokens);
    auto const response = boost::json::parse(assembler.assembledResponse());
    RC_ASSERT(std::string(response.at("choices").at(0).at("text").as_string()) == text);
}

// A server that restarts, or that ignores the offset, sends another completion or the same one from its start under a new id. Guards
// against a text made of two completions.
TEST(CompletionAssemblerTest, EventsOfAnotherCompletionLeaveResponseIncomplete)
{
    CompletionAssembler assembler;
    takeResponse(assembler, {tokenEvent("c-1", "one ")});
    takeResponse(assembler, {tokenEvent("c-2", "one ") + tokenEvent("c-2", "two ") + "data: [DONE]\n\n"});
    EXPECT_FALSE(assembler.isComplete());
    EXPECT_EQ(assembler.tokens(), 1U);
}

// Guards against a stream with an error event that is reported as a complete response.
TEST(CompletionAssemblerTest, ErrorEventLeavesResponseIncomplete)
{
    CompletionAssembler assembler;
    takeResponse(assembler, {"data: {\"error\":{\"message\":\"x\"}}\n\ndata: [DONE]\n\n"});
    EXPECT_FALSE(assembler.isComplete());
}

// Guards against repeating an item that must not be repeated after a 503 without `not_run`, which does not show that the item did
// not run.
TEST(ClassifyResponseTest, ClassifiesByStatusAndBody)
{
    using Kind = AttemptResult::Kind;
    struct Case {
        int status;
        std::string body;
        Kind allowed;
        Kind never;
    };
    std::vector<Case> const cases = {
        {200, "{}", Kind::Succeeded, Kind::Succeeded},
        {400, "{}", Kind::Rejected, Kind::Rejected},
        {408, "{}", Kind::Failed, Kind::Failed},
        {422, "{}", Kind::Rejected, Kind::Rejected},
        {429, "{}", Kind::NotRun, Kind::NotRun},
        {500, "{}", Kind::Failed, Kind::Failed},
        {503, "busy", Kind::NotRun, Kind::Failed},
        {503, R"({"error":{"not_run":false}})", Kind::NotRun, Kind::Failed},
        {503, R"({"error":{"not_run":true}})", Kind::NotRun, Kind::NotRun},
        {504, "{}", Kind::Failed, Kind::Failed},
    };
    for (auto const &[status, body, allowed, never] : cases) {
        Http::HttpResponse const response{.status = status, .body = body};
        EXPECT_EQ(classifyResponse(Repeat::Allowed, response, Instant{}).kind, allowed) << status << body;
        EXPECT_EQ(classifyResponse(Repeat::Never, response, Instant{}).kind, never) << status << body;
    }
}
