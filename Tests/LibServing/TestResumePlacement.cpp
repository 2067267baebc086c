#include "LibServing/ResumePlacement.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
ServerId const serverA("a");
ServerId const serverB("b");

ServerRecord recordOf(ServerId const &id, std::string version = "1")
{
    return {.id = id,
            .pool = PoolName("p"),
            .address = Address("127.0.0.1:1"),
            .slots = 8,
            .startedAt = 1,
            .softwareVersion = SoftwareVersion(std::move(version))};
}

/// Returns the server at which a stream of version 1 that `serverA` and `serverB` ran goes on, or "none".
std::string resumedAt(ServerDirectory const &directory, std::set<ServerId> ejected = {}, Instant now = Start)
{
    auto const server = findResumeServer(directory,
                                         {.candidates = {serverA, serverB},
                                          .ejected = std::move(ejected),
                                          .acceptsVersion = [](SoftwareVersion const &version) { return version == SoftwareVersion("1"); }},
                                         now);
    return server ? server->id.value() : "none";
}

ServerDirectory directoryOf(std::vector<ServerRecord> const &records)
{
    ServerDirectory directory({});
    for (auto const &record : records)
        directory.onRegistered(record, Start);
    return directory;
}

} // namespace

/// Guards against a stream that is broken off because the server where it ran last is gone, although another that ran it goes on.
TEST(ResumePlacementTest, AServerThatIsGoneIsSkipped)
{
    EXPECT_EQ(resumedAt(directoryOf({recordOf(serverA), recordOf(serverB)})), "a");
    EXPECT_EQ(resumedAt(directoryOf({recordOf(serverB)})), "b");
    EXPECT_EQ(resumedAt(directoryOf({})), "none");
}

/// Guards against events of two versions in one stream.
TEST(ResumePlacementTest, AServerThatStartedAgainWithAnotherVersionIsSkipped)
{
    EXPECT_EQ(resumedAt(directoryOf({recordOf(serverA, "2"), recordOf(serverB)})), "b");
    EXPECT_EQ(resumedAt(directoryOf({recordOf(serverA, "2"), recordOf(serverB, "2")})), "none");
}

TEST(ResumePlacementTest, EjectedAndLeavingServersAreUsedIfThereIsNoOther)
{
    auto directory = directoryOf({recordOf(serverA), recordOf(serverB)});
    EXPECT_EQ(resumedAt(directory, {serverA}), "b");
    EXPECT_EQ(resumedAt(directory, {serverA, serverB}), "a");
    directory.onUnregistered(serverA, Start);
    EXPECT_EQ(resumedAt(directory), "b");
    EXPECT_EQ(resumedAt(directory, {serverB}), "a");
    EXPECT_EQ(resumedAt(directory, {serverB}, Start + 2s), "b") << "a server that has left gets nothing";
}
