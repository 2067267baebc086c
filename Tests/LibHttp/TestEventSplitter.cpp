#include "LibHttp/EventSplitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

using namespace Anvilyard;
using namespace Anvilyard::Http;

namespace {

struct Split {
    std::vector<std::string> events;
    std::string relayed;
    std::size_t unfinished = 0;
};

Split split(std::vector<std::string> const &pieces)
{
    EventSplitter splitter;
    Split result;
    for (auto const &piece : pieces) {
        std::string ofPiece;
        result.relayed += splitter.take(piece, [&](std::string_view event, std::string_view withEnd) {
            result.events.emplace_back(event);
            ofPiece += withEnd;
        });
        EXPECT_TRUE(result.relayed.ends_with(ofPiece));
    }
    result.unfinished = splitter.unfinishedBytes();
    return result;
}

} // namespace

/// Guards against events that are joined or cut because their end is split between pieces: neither the number of pieces nor the kind of
/// line ends may change what an event is.
RC_GTEST_PROP(EventSplitterTest, AnyPiecesGiveTheSameEvents, ())
{
    auto const lines = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("id: 1", "data: a", "data:", ":"));
    auto const end = rc::gen::element<std::string>("\n\n", "\r\n\r\n", "\n\r\n", "\r\n\n");
    std::string stream;
    std::vector<std::string> events;
    for (auto const &line : lines) {
        auto const endOfEvent = *end;
        stream += line + endOfEvent;
        events.push_back(line);
    }
    auto const complete = stream.size();
    stream += *rc::gen::element<std::string>("", "d", "data: b", "data: b\n", "data: b\r\n", "data: b\r\n\r");
    auto const sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 7));
    std::vector<std::string> pieces;
    std::size_t at = 0;
    for (auto const size : sizes) {
        pieces.push_back(stream.substr(at, size));
        at = std::min(stream.size(), at + size);
    }
    pieces.push_back(stream.substr(at));
    auto const result = split(pieces);
    RC_ASSERT(result.relayed == stream.substr(0, complete));
    RC_ASSERT(result.unfinished == stream.size() - complete);
    RC_ASSERT(result.events == events);
}
