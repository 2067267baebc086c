#include "Tests/NodeProcesses/ServingFleet.h"

#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <optional>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

constexpr std::size_t MiB = 1024 * 1024;
/// Memory of the smallest machine of the platform, which the settings do not state.
constexpr std::size_t MaxMemoryBytes = 110'000'000;
constexpr std::size_t BlockBytes = 64 * 1024;
constexpr std::size_t EndlessServers = 6;
constexpr std::size_t SoundServers = 2;
constexpr std::size_t Requests = 150;
constexpr std::size_t StatedMegabytes = 110;
constexpr std::size_t MaxAttempts = 20;

struct EndlessResponse {
    std::string head;
    std::string block;
};

std::vector<EndlessResponse> endlessResponses()
{
    std::string const text(BlockBytes, 'x');
    std::string const signature = "Anvilyard-Response-Signature: sig\r\n";
    return {
        {"HTTP/1.1 200 OK\r\n" + signature + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + text + "\r\n"},
        {"HTTP/1.1 200 OK\r\n" + signature + "\r\n", text},
        {"HTTP/1.1 500 Internal Server Error\r\n" + signature + "\r\n", text},
    };
}

/// Sends a crowd of requests to a pool of which most servers send without end. Expects that the entry lives, within the memory, and serves.
/// `memoryMegabytes`: as the settings state it; unset to leave it out.
void expectBoundedMemory(std::optional<std::size_t> memoryMegabytes)
{
    ServingFleet fleet(ServingFleet::Options{.memoryMegabytes = memoryMegabytes});
    fleet.startServers(SoundServers, ModelServer::ResponseForm::Whole);
    fleet.startServers(SoundServers);
    auto const responses = endlessResponses();
    for (std::size_t server = 0; server < EndlessServers; ++server) {
        fleet.startScriptedServer("q",
                                  [response = responses[server % responses.size()]](ScriptedServer::Connection &connection, std::size_t) {
                                      if (connection.head().starts_with("GET"))
                                          return connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                                      connection.send(response.head);
                                      connection.sendFrom([block = response.block] { return block; });
                                  });
    }
    fleet.startNode("runner-1", Serving::InstanceRole::Runner);
    auto &entry = fleet.startNode("entry-1");
    fleet.waitUntilReady(entry);
    std::vector<std::future<ServingFleet::Answer>> answers;
    for (std::size_t number = 0; number < Requests; ++number)
        answers.push_back(fleet.sendAgain(entry, ServingFleet::plainRequest("/q/" + std::to_string(number), "body")));
    std::map<std::string, std::size_t> outcomes;
    for (auto &future : answers) {
        auto const answer = future.get();
        ++outcomes[answer ? std::to_string(answer->status) : "none"];
    }
    ASSERT_TRUE(entry.isRunning());
    EXPECT_LE(entry.peakMemoryBytes(), MaxMemoryBytes);
    EXPECT_EQ(outcomes["none"], 0U) << "callers get a response, not a closed connection";
    EXPECT_EQ(fleet.sendAgain(entry, fleet.requestOf({"good"})).get()->status, 200) << "another pool serves";
    // A caller tries again as long as only servers without end get its request.
    bool isServed = false;
    for (std::size_t attempt = 0; attempt < MaxAttempts && !isServed; ++attempt)
        isServed = fleet.sendAgain(entry, ServingFleet::plainRequest("/q/ordinary", "ordinary")).get()->status == 200;
    EXPECT_TRUE(isServed) << "the sound servers of the pool serve";
    for (auto const &[outcome, count] : outcomes)
        std::cout << outcome << ": " << count << '\n';
    std::cout << "peak memory " << entry.peakMemoryBytes() / MiB << " MiB\n";
}

} // namespace

/// Most servers of a pool send responses without end while many callers wait for them. Guards against an entry that keeps the responses up
/// to the limit of each, and is ended for its memory with the requests of all other callers.
TEST(EndlessCrowdTest, ResponsesWithoutEndStayWithinTheMemory)
{
    expectBoundedMemory(std::nullopt);
}

/// The same where the settings state the memory. Guards against ending the connections of callers in favour of such responses.
TEST(EndlessCrowdTest, ResponsesWithoutEndStayWithinTheStatedMemory)
{
    expectBoundedMemory(StatedMegabytes);
}
