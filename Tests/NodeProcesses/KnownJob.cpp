#include "Tests/NodeProcesses/KnownJob.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace Anvilyard::Tests {

namespace json = boost::json;

namespace {

constexpr Duration PollInterval = 100ms;

} // namespace

void addPage(KnownJob &known, std::size_t from, std::string const &body)
{
    auto const page = json::parse(body);
    std::size_t position = from;
    for (auto const &result : page.at("results").as_array()) {
        auto const text = json::serialize(result);
        if (position < known.results.size()) {
            EXPECT_EQ(text, known.results[position]) << known.job.id.value() << " at " << position;
        } else {
            EXPECT_TRUE(known.listed.insert(std::string(result.at("id").as_string())).second) << text << " is listed twice";
            known.results.push_back(text);
        }
        ++position;
    }
}

void readToTheEnd(ServingFleet &fleet, NodeProcess const &entry, KnownJob &known, Instant until)
{
    while (known.results.size() < known.job.items.size() && readLocalClock() < until) {
        auto const from = known.results.size();
        if (auto const page = fleet.readResults(entry, known.job.id, from).get(); page && page->status == 200)
            addPage(known, from, page->body);
        else
            fleet.waitUntil(readLocalClock() + PollInterval);
    }
}

} // namespace Anvilyard::Tests
