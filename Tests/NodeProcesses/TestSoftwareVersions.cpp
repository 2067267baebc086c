#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <thread>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

using Stream = ServingFleet::Stream;
using Streams = std::vector<std::shared_ptr<Stream>>;

/// Streams that may hold events of two versions, over all their attempts.
constexpr std::size_t MaxJoinedStreams = 2;
constexpr std::size_t ServersOfVersion = 4;
constexpr std::size_t StreamCount = 24;
constexpr std::uint64_t EventCount = 60;
constexpr Duration EventGap = 20ms;
/// Time in which entries and runners find new servers.
constexpr Duration ContactTime = 3s;

struct Events {
    std::set<std::string> versions;
    std::optional<std::uint64_t> last;
};

/// Complete events of a response text.
Events eventsIn(std::string const &text)
{
    Events events;
    std::size_t begin = 0;
    for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n", begin)) {
        auto const event = text.substr(begin, end - begin);
        begin = end + 2;
        auto const data = event.find("data: ") + 6;
        events.last = std::stoull(event.substr(4));
        events.versions.insert(event.substr(data, event.find('-', data) - data));
    }
    return events;
}

/// What became of a stream of a caller over its attempts.
struct Outcome {
    std::set<std::string> versions;
    bool isComplete = false;
};

class SoftwareVersionTest : public ::testing::Test
{
protected:
    void startFleet(std::vector<std::string> const &versions)
    {
        fleet_.setStreams(EventCount, EventGap);
        for (auto const &version : versions)
            fleet_.startServersOf(version, ServersOfVersion);
        for (auto const *name : {"runner-1", "runner-2"})
            runners_.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
        for (auto const *name : {"entry-1", "entry-2", "entry-3"})
            entries_.push_back(&fleet_.startNode(name));
        for (auto const *entry : entries_)
            fleet_.waitUntilReady(*entry);
        std::this_thread::sleep_for(ContactTime);
    }

    Streams open(std::vector<NodeProcess *> const &entries)
    {
        Streams streams;
        for (std::size_t number = 0; number < StreamCount; ++number)
            streams.push_back(fleet_.openStream(*entries[number % entries.size()], fleet_.requestOf({})));
        std::this_thread::sleep_for(300ms);
        return streams;
    }

    /// Takes broken streams up at the entries in turn and returns what became of all streams.
    std::vector<Outcome> takeUp(Streams const &streams, std::vector<NodeProcess *> const &entries)
    {
        fleet_.waitUntilEnded(streams);
        std::vector<Outcome> outcomes;
        Streams later;
        std::vector<std::size_t> indices;
        for (auto const &stream : streams) {
            auto const events = eventsIn(stream->text);
            outcomes.push_back({.versions = events.versions, .isComplete = stream->end == Stream::End::Complete && events.last});
            if (outcomes.back().isComplete || !events.last)
                continue;
            ++takenUp_;
            indices.push_back(outcomes.size() - 1);
            later.push_back(fleet_.openStream(*entries[takenUp_ % entries.size()], fleet_.takeUp(stream->request, *events.last)));
        }
        fleet_.waitUntilEnded(later);
        for (std::size_t number = 0; number < later.size(); ++number) {
            auto const &stream = *later[number];
            auto &outcome = outcomes[indices[number]];
            if (stream.status != 200) {
                refused_ += stream.status == 503 ? 1 : 0;
                continue;
            }
            outcome.versions.merge(eventsIn(stream.text).versions);
            outcome.isComplete = stream.end == Stream::End::Complete;
            goneOn_ += outcome.isComplete ? 1 : 0;
        }
        return outcomes;
    }

    static std::size_t joined(std::vector<Outcome> const &outcomes)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(outcomes, [](Outcome const &outcome) { return outcome.versions.size() > 1; }));
    }

    void kill(std::vector<NodeProcess *> const &nodes)
    {
        for (auto *node : nodes)
            node->kill();
    }

    void start(std::vector<NodeProcess *> const &nodes)
    {
        for (auto *node : nodes)
            node->start();
    }

    void waitUntilEntriesAreReady()
    {
        for (auto const *entry : entries_)
            fleet_.waitUntilReady(*entry);
    }

    ServingFleet fleet_;
    std::vector<NodeProcess *> runners_;
    std::vector<NodeProcess *> entries_;
    std::size_t takenUp_ = 0;
    std::size_t goneOn_ = 0;
    std::size_t refused_ = 0;
};

} // namespace

/// An entry is killed while two versions serve, and callers take their streams up at the others. Guards against streams that go on at the
/// other version, and against refusals of those whose version serves.
TEST_F(SoftwareVersionTest, TakenUpStreamsGoOnAtTheVersionThatBeganThem)
{
    startFleet({"v1", "v2"});
    auto const streams = open({entries_[0]});
    kill({entries_[0]});
    EXPECT_LE(joined(takeUp(streams, {entries_[1], entries_[2]})), MaxJoinedStreams);
    EXPECT_GE(takenUp_, StreamCount / 2);
    EXPECT_GE(goneOn_ * 2, takenUp_);
}

/// All entries are killed at once while two versions serve. Guards against a version that only the killed entries knew.
TEST_F(SoftwareVersionTest, TheVersionOfAStreamOutlivesAllEntries)
{
    startFleet({"v1", "v2"});
    auto const streams = open(entries_);
    kill(entries_);
    start(entries_);
    waitUntilEntriesAreReady();
    EXPECT_LE(joined(takeUp(streams, entries_)), MaxJoinedStreams);
    EXPECT_GE(takenUp_, StreamCount / 2);
    EXPECT_GE(goneOn_ * 2, takenUp_);
}

/// The servers of the old version leave right after all entries were killed. Guards against instances that see one version only and take it
/// for the one that began all streams.
TEST_F(SoftwareVersionTest, StreamsOfAVersionThatHasLeftAreRefused)
{
    startFleet({"v1", "v2"});
    auto const streams = open(entries_);
    kill(entries_);
    fleet_.stopServersOf("v1");
    start(entries_);
    waitUntilEntriesAreReady();
    std::this_thread::sleep_for(300ms);
    EXPECT_LE(joined(takeUp(streams, entries_)), MaxJoinedStreams);
    EXPECT_GE(goneOn_, StreamCount / 8) << "those of the new version";
    EXPECT_GE(refused_, StreamCount / 8) << "those of the old version";
    EXPECT_EQ(goneOn_ + refused_, takenUp_);
}

/// All entries and runners are killed at once while two versions serve. Guards against guesses: no instance knows any more which began a
/// stream.
TEST_F(SoftwareVersionTest, NoStreamIsJoinedAfterAllInstancesWereKilled)
{
    startFleet({"v1", "v2"});
    auto const streams = open(entries_);
    kill(entries_);
    kill(runners_);
    start(runners_);
    start(entries_);
    waitUntilEntriesAreReady();
    std::this_thread::sleep_for(500ms);
    EXPECT_LE(joined(takeUp(streams, entries_)), MaxJoinedStreams);
    EXPECT_EQ(goneOn_ + refused_, takenUp_);
    std::this_thread::sleep_for(ContactTime);
    // Streams that begin after that can be taken up again.
    takenUp_ = goneOn_ = refused_ = 0;
    auto const later = open({entries_[0]});
    kill({entries_[0]});
    EXPECT_LE(joined(takeUp(later, {entries_[1], entries_[2]})), MaxJoinedStreams);
    EXPECT_GE(goneOn_ * 2, takenUp_);
}

/// One version serves, and all instances are killed at once. Guards against refusals where only one version can have begun a stream.
TEST_F(SoftwareVersionTest, StreamsOfASingleVersionGoOnAfterAllInstancesWereKilled)
{
    startFleet({"v1"});
    auto const streams = open(entries_);
    kill(entries_);
    kill(runners_);
    start(runners_);
    start(entries_);
    waitUntilEntriesAreReady();
    EXPECT_EQ(joined(takeUp(streams, entries_)), 0U);
    EXPECT_GE(takenUp_, StreamCount / 2);
    EXPECT_GE(goneOn_ * 2, takenUp_);
}

/// Another version replaces the only one while streams run, and servers crash. Guards against a stream within one response that goes on at
/// another version, and against new streams that have to wait for the record of the new version.
TEST_F(SoftwareVersionTest, AResponseHoldsEventsOfOneVersion)
{
    startFleet({"v1"});
    auto const streams = open(entries_);
    fleet_.startServersOf("v2", ServersOfVersion);
    fleet_.crashServerOf("v1");
    std::this_thread::sleep_for(300ms);
    fleet_.crashServerOf("v1");
    auto const later = open(entries_);
    fleet_.crashServerOf("v2");
    fleet_.stopServersOf("v1");
    auto const outcomes = takeUp(streams, entries_);
    EXPECT_LE(joined(outcomes) + joined(takeUp(later, entries_)), MaxJoinedStreams);
    auto const last = open(entries_);
    auto const served = takeUp(last, entries_);
    EXPECT_EQ(std::ranges::count_if(served, [](Outcome const &outcome) { return outcome.isComplete; }), std::ssize(served));
    EXPECT_EQ(joined(served), 0U);
}

/// All servers of the old version crash one after the other and return at the new one, under their ids and half of them at their addresses,
/// and an entry is killed meanwhile. Guards against streams that go on at a server because it had their version before.
TEST_F(SoftwareVersionTest, AServerThatReturnsAtAnotherVersionUnderItsIdJoinsNoStream)
{
    startFleet({"v1", "v2"});
    fleet_.setIdAfterCrash(ServingFleet::IdAfterCrash::Same);
    fleet_.setVersionAfterCrash("v2");
    auto const streams = open(entries_);
    for (std::size_t crashed = 0; crashed < ServersOfVersion; ++crashed) {
        fleet_.crashServerOf("v1");
        std::this_thread::sleep_for(200ms);
        if (crashed == ServersOfVersion / 2)
            kill({entries_[0]});
    }
    std::vector<NodeProcess *> const others{entries_[1], entries_[2]};
    EXPECT_LE(joined(takeUp(streams, others)), MaxJoinedStreams);
    EXPECT_GE(refused_, 1U) << "streams of the old version";
    fleet_.waitUntilServersAreUp();
    std::this_thread::sleep_for(ContactTime);
    auto const served = takeUp(open(others), others);
    EXPECT_EQ(std::ranges::count_if(served, [](Outcome const &outcome) { return outcome.isComplete; }), std::ssize(served));
}

/// The store is away when an entry is killed. Guards against streams that are refused because the record of versions cannot be read, and
/// against guesses.
TEST_F(SoftwareVersionTest, StreamsAreTakenUpDuringAStoreOutage)
{
    startFleet({"v1", "v2"});
    fleet_.setStoreOutage(OutageMode::Refuse);
    std::this_thread::sleep_for(ContactTime);
    auto const streams = open({entries_[0]});
    kill({entries_[0]});
    EXPECT_LE(joined(takeUp(streams, {entries_[1], entries_[2]})), MaxJoinedStreams);
    EXPECT_GE(takenUp_, StreamCount / 2);
    EXPECT_GE(goneOn_ * 2, takenUp_);
}
