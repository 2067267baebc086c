#pragma once

#include "Tests/NodeProcesses/ServingFleet.h"

#include <set>
#include <string>
#include <vector>

namespace Anvilyard::Tests {

/// What a caller knows of a job that was accepted.
struct KnownJob {
    ServingFleet::SubmittedJob job;
    Instant acceptedAt;
    /// Results by position, as text.
    std::vector<std::string> results;
    std::set<std::string> listed;
};

/// Adds the results of a page that begins at a position. Expects that known ones are the same.
void addPage(KnownJob &known, std::size_t from, std::string const &body);

/// Reads the job until all its results are known or the time is over.
void readToTheEnd(ServingFleet &fleet, NodeProcess const &entry, KnownJob &known, Instant until);

} // namespace Anvilyard::Tests
