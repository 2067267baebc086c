#pragma once

#include "LibBatch/JobRecords.h"
#include "LibHttp/HttpMessage.h"
#include "LibRules/RuleSet.h"

#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Anvilyard::Batch {

/// The parsed form of `POST /v1/batches`.
struct JobRequest {
    /// Id of the input file. Empty if the request itself contains the items.
    std::string inputFile;
    std::vector<std::string> lines;
    std::string endpoint;
    std::string completionWindow;
    std::optional<std::chrono::minutes> due;
    std::map<std::string, std::string> metadata;
    /// Empty if the caller supplied none.
    std::string idempotencyKey;
};

/// Parses the request's body and headers. The error is a message for the caller.
tl::expected<JobRequest, std::string> parseJobRequest(Http::HttpRequest const &request);

/// Returns the defaults for a customer: its own rule, otherwise that of "*", otherwise the built-in values.
Rules::JobDefaultsRule jobDefaultsFor(Rules::RuleSet const &rules, CustomerId const &customer);

/// Returns the first service without a route, if any.
std::optional<ServiceName> firstUnroutedService(Rules::RuleSet const &rules, std::vector<ServiceName> const &services);

/// Returns the record of a job that is about to be accepted.
JobRecord makeJobRecord(JobRequest const &request, FileRecord const &file, Rules::JobDefaultsRule const &defaults, WallInstant now);

} // namespace Anvilyard::Batch
