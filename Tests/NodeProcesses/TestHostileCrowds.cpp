#include "Tests/LibHttp/RawConnection.h"
#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
/// Peak memory that an entry may have. Without callers it has less than a fifth of it.
constexpr std::size_t MaxMemoryBytes = 48 * MiB;
/// Setting of the entry. Crowds and bounds were fixed without it, as the code of that time rejects unknown settings.
constexpr std::size_t MemoryMegabytes = 48;
constexpr std::size_t DescriptorLimit = 128;
/// The rest is left for connections to backend servers, peers and the store.
constexpr std::size_t MaxDescriptors = 112;
/// The limit of the desired state.
constexpr std::size_t BodyLimitBytes = 4'194'304;
constexpr std::size_t SendBytes = 64 * KiB;

std::string headOf(std::string const &framing)
{
    static std::size_t count = 0;
    auto const id = "hostile-" + std::to_string(++count);
    return "POST /q/hostile HTTP/1.1\r\nHost: h.example\r\nAnvilyard-Attempt-Id: " + id + "\r\nAnvilyard-Deadline-Ms: 5000\r\n" + framing
        + "\r\n\r\n";
}

std::string chunkedHead()
{
    return headOf("Transfer-Encoding: chunked");
}

/// Chunks of a size, with so many bytes of content in all.
std::string chunksOf(std::size_t chunkBytes, std::size_t contentBytes)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    auto const chunk = size.data() + std::string(chunkBytes, 'x') + "\r\n";
    std::string chunks;
    for (std::size_t content = 0; content + chunkBytes <= contentBytes; content += chunkBytes)
        chunks += chunk;
    return chunks;
}

/// Callers of one entry, whose connections stay open until the entry closes them.
class HostileCrowd
{
public:
    HostileCrowd(Address const &entry, std::size_t count)
    {
        for (std::size_t started = 0; started < count; ++started)
            callers_.push_back(std::make_unique<RawConnection>(entry));
    }

    /// Sends the bytes so many times to the entry, in pieces from each caller in turn. A caller whose connection has ended stops.
    void send(std::string_view bytes, std::size_t times = 1)
    {
        std::vector<RawConnection *> sending;
        for (auto const &caller : callers_)
            sending.push_back(caller.get());
        for (std::size_t sent = 0; sent < times; ++sent) {
            for (std::size_t at = 0; at < bytes.size(); at += SendBytes)
                std::erase_if(sending, [&](auto *caller) { return !caller->send(bytes.substr(at, SendBytes)); });
        }
    }

    /// Sends a whole request from one caller after the other, with a pause between them.
    void sendRequests(Duration pause)
    {
        for (auto const &caller : callers_) {
            caller->send(headOf("Content-Length: 7") + "hostile");
            std::this_thread::sleep_for(pause);
        }
    }

private:
    std::vector<std::unique_ptr<RawConnection>> callers_;
};

/// One entry and a pool of plain servers. Crowds and bounds were fixed on the code of e8e43f4, on which they show the faults.
class HostileCrowdTest : public ::testing::Test
{
protected:
    void startEntry()
    {
        fleet_.startServers(2, ModelServer::ResponseForm::Whole);
        fleet_.startNode("runner-1", Serving::InstanceRole::Runner);
        entry_ = &fleet_.startNode("entry-1");
        fleet_.waitUntilReady(*entry_);
    }

    /// Waits until the entry has read what the crowd sent, which shows by its peak memory.
    void waitUntilSettled()
    {
        constexpr int UnchangedSamples = 10;
        std::size_t peak = 0;
        for (int unchanged = 0; unchanged < UnchangedSamples && entry_->isRunning(); ++unchanged) {
            if (auto const before = std::exchange(peak, entry_->peakMemoryBytes()); peak != before)
                unchanged = 0;
            std::this_thread::sleep_for(50ms);
        }
    }

    /// Checks the entry while the crowd is still connected.
    void expectServes()
    {
        waitUntilSettled();
        ASSERT_TRUE(entry_->isRunning());
        auto const descriptors = entry_->openDescriptors();
        auto const answer = fleet_.sendAgain(*entry_, ServingFleet::plainRequest("/q/ordinary", "ordinary")).get();
        EXPECT_TRUE(answer && answer->status == 200) << (answer ? std::to_string(answer->status) : answer.error().error.toString());
        ASSERT_TRUE(entry_->isRunning());
        auto const peak = entry_->peakMemoryBytes();
        EXPECT_LE(peak, MaxMemoryBytes);
        EXPECT_LE(std::max(descriptors, entry_->openDescriptors()), MaxDescriptors);
        GTEST_LOG_(INFO) << "peak memory " << peak / KiB << " KiB, descriptors " << descriptors;
    }

    ServingFleet fleet_{ServingFleet::Options{.maxDescriptors = DescriptorLimit, .memoryMegabytes = MemoryMegabytes}};
    NodeProcess *entry_ = nullptr;
};

} // namespace

/// Guards against trailers that are read without a bound: neither the limit of a head nor that of a body applies to them.
TEST_F(HostileCrowdTest, EndlessTrailersTakeNoMemory)
{
    startEntry();
    HostileCrowd crowd(entry_->callers(), 8);
    crowd.send(chunkedHead() + "1\r\nx\r\n0\r\n");
    std::string const trailer = "A: " + std::string(SendBytes - 5, 'x') + "\r\n";
    crowd.send(trailer, 8 * MiB / trailer.size());
    expectServes();
}

/// Guards against bodies that are kept although their announced length is far over the limit.
TEST_F(HostileCrowdTest, BodiesThatAnnounceALengthOverTheLimitTakeNoMemory)
{
    startEntry();
    HostileCrowd crowd(entry_->callers(), 20);
    crowd.send(headOf("Content-Length: 400000000"));
    crowd.send(std::string(SendBytes, 'x'), 8 * MiB / SendBytes);
    expectServes();
}

/// Guards against many bodies over the limit that are each kept up to the limit.
TEST_F(HostileCrowdTest, BodiesThatGrowOverTheLimitStayWithinTheMemory)
{
    startEntry();
    HostileCrowd crowd(entry_->callers(), 20);
    crowd.send(chunkedHead());
    crowd.send(chunksOf(SendBytes, SendBytes), 2 * BodyLimitBytes / SendBytes);
    expectServes();
}

/// Guards against bodies inside the limit that are kept, however many there are, until their callers send the rest.
TEST_F(HostileCrowdTest, StalledBodiesInLargeChunksStayWithinTheMemory)
{
    startEntry();
    HostileCrowd crowd(entry_->callers(), 24);
    crowd.send(chunkedHead() + chunksOf(64 * KiB, BodyLimitBytes - 64 * KiB));
    expectServes();
}

/// Most callers stop just short of the end of their bodies, and there are more of them than the process has descriptors. Guards against
/// stalled bodies that keep ordinary callers out, and against framing that takes a multiple of its content in memory.
TEST_F(HostileCrowdTest, StalledBodiesInSmallChunksLeaveDescriptorsForOthers)
{
    startEntry();
    HostileCrowd complete(entry_->callers(), 8);
    complete.send(chunkedHead() + chunksOf(7, 60'000) + "0\r\n\r\n");
    HostileCrowd stalled(entry_->callers(), 160);
    stalled.send(chunkedHead() + chunksOf(7, 60'000));
    expectServes();
}

/// Guards against responses that are kept, however many there are, for callers that do not read them.
TEST_F(HostileCrowdTest, ResponsesToCallersThatReadNothingStayWithinTheMemory)
{
    fleet_.setResponseSize(6 * MiB);
    startEntry();
    HostileCrowd crowd(entry_->callers(), 16);
    crowd.sendRequests(100ms);
    expectServes();
}
