#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <mutex>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

constexpr Duration Window = 5s;
constexpr Duration RunLength = 16s;
constexpr Duration EntryKilledAt = 4s;
constexpr Duration EntryPausedAt = 6s;
constexpr Duration EntryResumedAt = 9s;
constexpr Duration RunnerPausedAt = 10s;
/// "hot" sends 50 requests a second at a limit of 10, "calm" 12 at a limit of 20.
constexpr Duration HotInterval = 20ms;
constexpr int CalmEvery = 4;
char const *const customers = R"([{"name":"hot","apiKeys":["k-hot"],"ratePerS":10,"burst":10},
                                  {"name":"calm","apiKeys":["k-calm"],"ratePerS":20,"burst":20}])";
/// By the agreement with operators: 1.1 times rate and burst in 5 s, and 20 requests.
constexpr std::size_t AllowedOfHot = 86;
constexpr std::size_t AllowedOfCalm = 152;
/// 0.95 of rate and burst in the run, less the equal shares of the entries that are silent and might be using them: of the killed one 2 a
/// second for 12 s, of the paused one for 3 s.
constexpr std::size_t MinOfHot = 133;

class CustomerLimitProcessTest : public ::testing::Test
{
protected:
    using Fate = ModelServer::ResponseFate;

    CustomerLimitProcessTest()
        : fleet_({.customers = customers})
    {
        fleet_.setPromptTime(3ms);
        fleet_.setResponseFate([this](Http::HttpRequest const &request) {
            std::lock_guard const guard(mutex_);
            runs_[request.body].push_back(readLocalClock());
            return Fate::Arrives;
        });
        fleet_.startServers(4, ModelServer::ResponseForm::Whole);
        for (auto const *name : {"runner-1", "runner-2"})
            runners_.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
        for (auto const *name : {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"})
            entries_.push_back(&fleet_.startNode(name));
        for (auto const *entry : entries_)
            fleet_.waitUntilReady(*entry);
        // Instances have received reports of each other by then.
        fleet_.waitUntil(readLocalClock() + 2s);
    }

    std::future<ServingFleet::Answer> send(std::string const &customer, std::size_t entry)
    {
        auto request = ServingFleet::plainRequest("/q/x", customer);
        request.headers.set("Authorization", "Token k-" + customer);
        return fleet_.sendAgain(*entries_[entry], std::move(request));
    }

    /// Returns the largest number of requests that servers got of a customer in 5 s.
    std::size_t worstWindow(std::string const &customer)
    {
        std::lock_guard const guard(mutex_);
        auto &runs = runs_[customer];
        std::ranges::sort(runs);
        std::size_t worst = 0;
        for (std::size_t first = 0, last = 0; last < runs.size(); ++last) {
            while (runs[first] + Window <= runs[last])
                ++first;
            worst = std::max(worst, last - first + 1);
        }
        return worst;
    }

    std::mutex mutex_;
    /// When servers began to run requests, by their body.
    std::map<std::string, std::vector<Instant>> runs_;
    ServingFleet fleet_;
    std::vector<NodeProcess *> runners_;
    std::vector<NodeProcess *> entries_;
};

} // namespace

// Guards against a customer that exceeds its limit while an entry or the runner that coordinates the limit fails, and against refusals of a
// customer that keeps to its limit. The last entries stay up and get all calm requests; hot ones also go to the paused entry.
TEST_F(CustomerLimitProcessTest, NoCustomerExceedsItsLimit)
{
    std::vector<std::future<ServingFleet::Answer>> calm;
    std::vector<std::future<ServingFleet::Answer>> hot;
    auto const start = readLocalClock();
    int phase = 0;
    std::vector<std::pair<Duration, std::function<void()>>> const events = {
        {EntryKilledAt, [&] { entries_[0]->kill(); }},
        {EntryPausedAt, [&] { entries_[1]->pause(); }},
        {EntryResumedAt, [&] { entries_[1]->resume(); }},
        {RunnerPausedAt, [&] { runners_[0]->pause(); }},
    };
    std::size_t nextEvent = 0;
    for (Duration at{0}; at < RunLength; at += HotInterval) {
        fleet_.waitUntil(start + at);
        if (nextEvent < events.size() && at >= events[nextEvent].first)
            events[nextEvent++].second();
        std::size_t const firstUp = at >= EntryKilledAt ? 1 : 0;
        hot.push_back(send("hot", firstUp + static_cast<std::size_t>(phase) % (3 - firstUp)));
        if (++phase % CalmEvery == 0)
            calm.push_back(send("calm", 2 + static_cast<std::size_t>(phase / CalmEvery) % 3));
    }
    runners_[0]->resume();
    std::size_t refusedOfCalm = 0;
    for (auto &answer : calm) {
        auto const received = answer.get();
        refusedOfCalm += received && received->status == 200 ? 0 : 1;
    }
    std::size_t refusedOfHot = 0;
    for (auto &answer : hot) {
        auto const received = answer.get();
        if (!received || received->status != 429)
            continue;
        ++refusedOfHot;
        EXPECT_TRUE(received->headers.find("Retry-After"));
    }
    RecordProperty("hot", std::to_string(runs_["hot"].size()));
    RecordProperty("hot_worst", std::to_string(worstWindow("hot")));
    RecordProperty("hot_refused", std::to_string(refusedOfHot));
    RecordProperty("calm_refused", std::to_string(refusedOfCalm));
    EXPECT_LE(worstWindow("hot"), AllowedOfHot);
    EXPECT_LE(worstWindow("calm"), AllowedOfCalm);
    EXPECT_GE(runs_["hot"].size(), MinOfHot) << "the limit can be used";
    EXPECT_GT(refusedOfHot, 0U);
    EXPECT_LE(refusedOfCalm, calm.size() / 100) << "of " << calm.size();
}
