#include "Tests/NodeProcesses/ServingFleet.h"

#include <gtest/gtest.h>
#include <mutex>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

/// The platform's bound on how long a version takes to be in force, also where it comes from peers.
constexpr Duration TimeToForce = 3s;
constexpr Duration RequestInterval = 10ms;
constexpr char const *Refused = "refused";

class CustomerKeysTest : public ::testing::Test
{
protected:
    /// Sends a request whose body is the customer that its server must receive.
    std::future<ServingFleet::Answer> send(NodeProcess const &entry, std::string const &key, std::string const &customer)
    {
        auto request = ServingFleet::plainRequest("/q/1", customer);
        if (!key.empty())
            request.headers.append({"Authorization", "Token " + key});
        request.headers.append({"Anvilyard-Tenant", "made-up"});
        return fleet_.sendAgain(entry, std::move(request));
    }

    int statusOf(NodeProcess const &entry, std::string const &key, std::string const &customer)
    {
        auto const answer = send(entry, key, customer).get();
        return answer ? answer->status : 0;
    }

    /// Sends requests with these keys in turn for a while. All with a customer must be served, and all others be refused.
    void load(std::vector<NodeProcess *> const &entries, std::vector<std::pair<std::string, std::string>> const &keys, Duration time)
    {
        std::vector<std::pair<std::future<ServingFleet::Answer>, int>> answers;
        auto next = readLocalClock();
        for (auto const until = next + time; next < until; next += RequestInterval) {
            auto const &[key, customer] = keys[answers.size() % keys.size()];
            auto const &entry = *entries[answers.size() / keys.size() % entries.size()];
            answers.emplace_back(send(entry, key, customer), customer == Refused ? 401 : 200);
            fleet_.waitUntil(next + RequestInterval);
        }
        for (auto &[answer, expected] : answers) {
            auto const received = answer.get();
            ASSERT_TRUE(received);
            EXPECT_EQ(received->status, expected);
        }
    }

    ServingFleet fleet_;
};

} // namespace

/// A key is removed under load while one entry is cut off from the store and another one is killed. Guards against requests with a removed
/// or unknown key that run, against servers that see a key or a name that the caller made up, and against valid keys that are refused.
TEST_F(CustomerKeysTest, RemovedKeysAreRefusedEverywhere)
{
    std::mutex mutex;
    std::vector<std::string> faults;
    std::size_t runs = 0;
    fleet_.setObserver([&](Http::HttpRequest const &request) {
        std::lock_guard const guard(mutex);
        ++runs;
        if (request.headers.contains("Authorization"))
            faults.emplace_back("a server saw a key");
        if (request.headers.find("Anvilyard-Tenant") != request.body)
            faults.push_back("for " + request.body + " a server was told "
                             + std::string(request.headers.find("Anvilyard-Tenant").value_or("none")));
    });
    fleet_.setCustomers(R"([{"name":"north","apiKeys":["k1"]},{"name":"south","apiKeys":["k2","k3"]}])");
    fleet_.startServers(4, ModelServer::ResponseForm::Whole);
    fleet_.startNode("runner-1", Serving::InstanceRole::Runner);
    auto &entry = fleet_.startNode("entry-1");
    auto &killed = fleet_.startNode("entry-2");
    auto &cut = fleet_.startNodeBehindPathToStore("entry-3", Serving::InstanceRole::Entry);
    std::vector<NodeProcess *> const entries = {&entry, &killed, &cut};
    for (auto const *each : entries)
        fleet_.waitUntilReady(*each);
    fleet_.waitUntil(readLocalClock() + 1s);
    load(entries, {{"k1", "north"}, {"k2", "south"}, {"k4", Refused}, {"", Refused}}, 1s);

    fleet_.setStoreCut(Cut::Reset);
    fleet_.setCustomers(R"([{"name":"north","apiKeys":["k1"]},{"name":"south","apiKeys":["k3","k4"]}])");
    auto const inForceAt = readLocalClock() + TimeToForce;
    load({&entry, &cut}, {{"k1", "north"}, {"k3", "south"}, {"", Refused}}, 500ms);
    killed.kill();
    load({&entry, &cut}, {{"k1", "north"}, {"k3", "south"}, {"", Refused}}, 500ms);
    killed.start();
    fleet_.waitUntilReady(killed);
    fleet_.waitUntil(inForceAt);
    for (auto const *each : entries)
        EXPECT_EQ(statusOf(*each, "k2", Refused), 401) << each->name();
    load(entries, {{"k1", "north"}, {"k3", "south"}, {"k4", "south"}, {"k2", Refused}, {"", Refused}}, 2s);

    std::lock_guard const guard(mutex);
    EXPECT_TRUE(faults.empty()) << faults.size() << " faults, the first: " << faults.front();
    EXPECT_GT(runs, 100U);
}
