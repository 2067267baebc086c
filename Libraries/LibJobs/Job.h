#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Jobs {

/// Identifies an item to its submitter and to the servers that run it.
using ItemId = StrongType<struct ItemIdTag, std::string>;

/// One request of a batch job.
struct JobItem {
    ItemId id;
    /// Path and query.
    std::string target;
    Http::Headers headers;
    std::string body;
    /// Prompt tokens plus the maximum number of generated tokens.
    std::uint64_t tokens = 0;
};

struct JobRecord {
    JobId id;
    /// Host to which the job was submitted. It determines the route of the items.
    std::string host;
    WallInstant acceptedAt;
    /// Customer that submitted the job; unset for a caller without a key and in jobs of earlier builds.
    std::optional<CustomerId> customer = {};
    std::vector<JobItem> items;

    [[nodiscard]] std::uint64_t tokens() const;
};

enum class OutcomeState {
    Completed,
    /// The item cannot be completed, or was not completed in time.
    GivenUp,
};

/// Final result of an item. It never changes once it is listed.
struct ItemOutcome {
    ItemId id;
    OutcomeState state = OutcomeState::Completed;
    /// Completed: the data of all events, joined by line feeds.
    std::string output;
};

/// Consecutive outcomes that were listed together. The segments of a job are contiguous. Each one is stored once, and the first runner
/// that stores it wins.
struct ResultSegment {
    /// Position of the first outcome in the job's list.
    std::size_t first = 0;
    std::vector<ItemOutcome> outcomes;
};

/// Maximum size of the output on a page of results. The platform limits a page to a megabyte, of which JSON escapes may take half.
constexpr std::size_t MaxPageBytes = 480 * 1024;

/// Page of a job's results.
struct ResultPage {
    /// Number of items of the job.
    std::size_t total = 0;
    /// Position after the last outcome of this page.
    std::size_t next = 0;
    std::vector<ItemOutcome> outcomes;
};

} // namespace Anvilyard::Jobs
