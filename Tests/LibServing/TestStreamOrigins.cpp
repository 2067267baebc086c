#include "LibServing/StreamOrigins.h"
#include "LibServing/VersionRecord.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

Instant const start(1h);
PoolName const pool("p");
SoftwareVersion const v1("v1");
SoftwareVersion const v2("v2");

std::vector<UsableServer> serversOf(std::vector<SoftwareVersion> const &versions)
{
    std::vector<UsableServer> servers;
    for (auto const &version : versions)
        servers.push_back({.record = {.id = ServerId("s" + version.value()), .pool = pool, .softwareVersion = version}});
    return servers;
}

} // namespace

/// Streams begin all the time. Guards against memory for all of them, and against forgetting one that callers may still take up.
TEST(StreamOriginsTest, RecentStreamsAreRemembered)
{
    StreamOrigins origins({.retention = 30s, .maxStreams = 100});
    StreamOrigin const origin{.pool = pool, .version = v1};
    origins.onBegun(RequestId("first"), origin, start);
    origins.onBegun(RequestId("second"), origin, start + 29s);
    EXPECT_EQ(origins.find(RequestId("first")), origin);
    origins.onBegun(RequestId("third"), origin, start + 31s);
    EXPECT_FALSE(origins.find(RequestId("first")));
    EXPECT_EQ(origins.find(RequestId("second")), origin);
    for (int number = 0; number < 1000; ++number)
        origins.onBegun(RequestId(std::to_string(number)), origin, start + 32s);
    EXPECT_EQ(origins.size(), 100U);
}

/// Guards against a notice that is read as another message or in part.
TEST(StreamOriginsTest, ABeginIsEncodedWhole)
{
    StreamOrigin const origin{.pool = pool, .version = v2};
    auto const text = encodeStreamBegin(RequestId("a\"b"), origin);
    EXPECT_TRUE(isStreamBegin(text));
    auto const decoded = decodeStreamBegin(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->first, RequestId("a\"b"));
    EXPECT_EQ(decoded->second, origin);
    EXPECT_FALSE(decodeStreamBegin(R"({"begun":"a"})"));
    EXPECT_FALSE(decodeStreamBegin(R"({"begun":3,"pool":"p","version":"v"})"));
}

/// A new version starts. Guards against streams that begin there before the record contains it.
TEST(VersionRecordTest, AVersionCountsOnceItIsInTheRecord)
{
    VersionRecord record;
    record.onServers(serversOf({v1}), start);
    EXPECT_EQ(record.incomplete(), std::set{pool});
    EXPECT_FALSE(record.isRecorded(pool, v1));
    record.onWritten(pool, {v1}, start);
    EXPECT_TRUE(record.incomplete().empty());
    record.onServers(serversOf({v1, v2}), start + 1s);
    EXPECT_EQ(record.incomplete(), std::set{pool});
    EXPECT_EQ(record.wanted(pool, {v1}, start + 1s), (SoftwareVersions{v1, v2}));
    record.onRecorded(pool, {v2}, start + 1s);
    EXPECT_EQ(record.recorded(pool), (SoftwareVersions{v1, v2}));
}

/// The old version leaves. Guards against dropping it while callers may take its streams up, and against keeping it forever.
TEST(VersionRecordTest, AVersionWithoutServersLeavesTheRecordLate)
{
    VersionRecord record;
    record.onServers(serversOf({v1, v2}), start);
    record.onWritten(pool, {v1, v2}, start);
    record.onServers(serversOf({v2}), start + 10s);
    record.onTick(start + 60s);
    EXPECT_EQ(record.wanted(pool, {v1, v2}, start + 60s), (SoftwareVersions{v1, v2}));
    EXPECT_TRUE(record.withForgotten(start + 60s).empty());
    record.onTick(start + 125s);
    EXPECT_FALSE(record.isRecorded(pool, v1)) << "another instance may have removed it";
    EXPECT_TRUE(record.isRecorded(pool, v2));
    EXPECT_EQ(record.withForgotten(start + 125s), std::set{pool});
    EXPECT_EQ(record.wanted(pool, {v1, v2}, start + 125s), SoftwareVersions{v2});
    record.onWritten(pool, {v2}, start + 125s);
    EXPECT_TRUE(record.withForgotten(start + 300s).empty());
}

/// An instance has just started and reads a version that it never saw. Guards against removing it from the record.
TEST(VersionRecordTest, AVersionThatWasNeverSeenStays)
{
    VersionRecord record;
    record.onServers(serversOf({v2}), start);
    EXPECT_EQ(record.wanted(pool, {v1}, start), (SoftwareVersions{v1, v2}));
}

/// Guards against a record of another writer that is taken for an empty one.
TEST(VersionRecordTest, ABrokenRecordIsAnError)
{
    EXPECT_EQ(*decodeVersions(encodeVersions({v1, v2})), (SoftwareVersions{v1, v2}));
    EXPECT_TRUE(decodeVersions(encodeVersions({}))->empty());
    for (auto const *text : {"", "[]", R"({"versions":"v1"})", R"({"versions":[1]})"})
        EXPECT_FALSE(decodeVersions(text)) << text;
}
