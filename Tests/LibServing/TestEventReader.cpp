#include "LibServing/EventReader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard::Serving;

namespace {

std::string event(std::uint64_t id, std::string const &end = "\n")
{
    return "id: " + std::to_string(id) + end + "data: token " + std::to_string(id) + end + end;
}

} // namespace

TEST(EventReaderTest, OnlyCompleteEventsAreRelayedUnchanged)
{
    EventSequence sequence;
    EventReader events(sequence);
    EXPECT_EQ(events.take("id: 0\nda"), "");
    EXPECT_TRUE(events.hasPartialEvent());
    EXPECT_EQ(events.take("ta: x\r\n\r\nid: 1\n"), "id: 0\ndata: x\r\n\r\n");
    EXPECT_EQ(sequence.lastId(), 0U);
    EXPECT_EQ(events.take("data: y\n\n"), "id: 1\ndata: y\n\n");
    EXPECT_FALSE(events.hasPartialEvent());
}

TEST(EventReaderTest, DataLinesOfAnEventAreJoined)
{
    std::string data;
    EventSequence sequence;
    EventReader events(sequence);
    events.take("some-header: 3\nid:7\ndata: a\ndata:b\n\n", [&](std::string_view text) { data = text; });
    EXPECT_EQ(data, "a\nb");
    EXPECT_EQ(sequence.lastId(), 7U);
}

TEST(EventReaderTest, AGapBreaksTheResponse)
{
    EventSequence sequence(4);
    EventReader events(sequence);
    EXPECT_EQ(events.take(event(6)), "");
    EXPECT_TRUE(events.isBroken());
    EXPECT_EQ(events.take(event(5)), "") << "no events are relayed after a gap";
}

/// A faulty server sends an event without a readable id. Guards against relaying it: after a resume the caller would have it twice, or
/// have an event that is of no run.
TEST(EventReaderTest, AnEventWithoutAnIdAmongEventsWithIdsBreaksTheResponse)
{
    for (std::string const spoilt : {"data: x\n\n", "id: 6x\ndata: x\n\n", "id:\ndata: x\n\n", "event: x\n\n"}) {
        EventSequence sequence;
        EventReader events(sequence);
        EXPECT_EQ(events.take(event(5) + spoilt + event(6)), event(5)) << spoilt;
        EXPECT_TRUE(events.isBroken()) << spoilt;
        EXPECT_EQ(sequence.lastId(), 5U) << spoilt;
        EventReader next(sequence);
        EXPECT_EQ(next.take(spoilt), "") << spoilt;
        EXPECT_TRUE(next.isBroken()) << "the ids of an earlier response count, too: " << spoilt;
    }
}

/// A faulty server sends bytes that are no events, among which there are empty lines. Guards against relaying them as events without ids.
TEST(EventReaderTest, BytesThatAreNoEventsAreNotRelayed)
{
    for (std::string const bytes : {"x\n\n", "\x16\x03\x01\n\n", "<html>\r\n\r\n", "event: x\n\n", "idx: 5\ndatax: y\n\n"}) {
        EventSequence sequence;
        EventReader events(sequence);
        EXPECT_EQ(events.take(bytes + event(0)), "") << bytes;
        EXPECT_TRUE(events.isBroken()) << bytes;
        EXPECT_EQ(sequence.count(), 0U) << bytes;
    }
}

/// Comments and repeated events move no position. Guards against a response that consists of them and does not end.
TEST(EventReaderTest, BytesWithoutANewEventAreLimited)
{
    constexpr std::size_t Limit = 1024 * 1024;
    for (auto const &bytes : std::vector<std::string>{": alive\n\n", "\n\n", event(4), event(5)}) {
        EventSequence sequence(5);
        EventReader events(sequence);
        auto const takeUpToLimit = [&] {
            for (std::size_t taken = 0; taken + bytes.size() <= Limit; taken += bytes.size())
                events.take(bytes);
        };
        takeUpToLimit();
        events.take(event(6));
        takeUpToLimit();
        EXPECT_FALSE(events.isBroken()) << "the new event starts the count anew: " << bytes;
        events.take(bytes);
        EXPECT_TRUE(events.isBroken()) << bytes;
    }
}

/// Servers send comments to keep a connection alive. Guards against taking one for an event, which would break the response for want of an
/// id.
TEST(EventReaderTest, ACommentIsRelayedWithoutMovingThePosition)
{
    EventSequence sequence;
    EventReader events(sequence);
    EXPECT_EQ(events.take(event(5) + ": alive\r\n\r\n" + event(6)), event(5) + ": alive\r\n\r\n" + event(6));
    EXPECT_FALSE(events.isBroken());
    EXPECT_EQ(sequence.count(), 2U);
}

TEST(EventReaderTest, AStreamWithoutIdsIsRelayed)
{
    EventSequence sequence;
    EventReader events(sequence);
    EXPECT_EQ(events.take("data: x\n\ndata: y\n\n"), "data: x\n\ndata: y\n\n");
    EXPECT_FALSE(events.isBroken());
    EXPECT_EQ(sequence.count(), 2U);
}

TEST(EventReaderTest, AnEndlessEventBreaksTheResponse)
{
    EventSequence sequence;
    EventReader events(sequence);
    events.take(std::string(1024 * 1024 + 1, 'x'));
    EXPECT_TRUE(events.isBroken());
}

/// One server sends a gap, another one the missing events. Guards against giving a stream up because of one server's broken response.
TEST(EventReaderTest, AnotherResponseContinuesAfterAGap)
{
    EventSequence sequence(4);
    EventReader(sequence).take(event(6));
    EventReader next(sequence);
    EXPECT_EQ(next.take(event(5) + event(6)), event(5) + event(6));
    EXPECT_FALSE(next.isBroken());
}

namespace {

/// Draws from the full range regardless of the case size, so that streams make progress in small cases as well.
template<typename Number>
rc::Gen<Number> inRange(Number from, Number to)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(from, to));
}

} // namespace

/// The stream is split into arbitrary pieces, interrupted within an event and repeated from an earlier event. The caller must receive
/// each event once and in order. This fails if a part of one response is joined with the next one, or if a repeated event is accepted.
RC_GTEST_PROP(EventReaderProperty, EachEventIsRelayedOnceAfterAnyInterruptions, ())
{
    constexpr std::uint64_t Count = 12;
    std::string complete;
    for (std::uint64_t id = 0; id < Count; ++id)
        complete += event(id, id % 2 == 0 ? "\n" : "\r\n");
    EventSequence sequence;
    std::string relayed;
    while (sequence.lastId() != Count - 1) {
        auto const from = *inRange<std::uint64_t>(0, sequence.lastId() ? *sequence.lastId() + 2 : 1);
        std::string stream;
        for (auto id = from; id < Count; ++id)
            stream += event(id, id % 2 == 0 ? "\n" : "\r\n");
        auto const cut = *inRange<std::size_t>(1, stream.size() + 1);
        EventReader events(sequence);
        std::string_view rest = std::string_view(stream).substr(0, cut);
        while (!rest.empty()) {
            auto const size = *inRange<std::size_t>(1, rest.size() + 1);
            relayed += events.take(rest.substr(0, size));
            rest.remove_prefix(size);
        }
        RC_ASSERT(!events.isBroken());
    }
    RC_ASSERT(relayed == complete);
}
