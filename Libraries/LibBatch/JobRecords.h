#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Anvilyard::Batch {

using FileId = StrongType<struct FileIdTag, std::string>;
/// One attempt to store an input. Its chunks are named after it, so that chunks of two attempts never mix.
using UploadId = StrongType<struct UploadIdTag, std::string>;

/// Whether an item may be sent again if the outcome of an earlier attempt is unknown.
enum class Repeat {
    Allowed,
    Never,
};

/// One line of a submission.
struct ItemSpec {
    std::string customId;
    /// Path at the backend server, such as "/v1/chat/completions" or "/services/dispatch/van".
    std::string url;
    ServiceName service;
    Repeat repeat = Repeat::Allowed;
    /// JSON text of the request body.
    std::string body;
};

/// The outcome of an item. All values except Pending are final.
enum class ItemOutcome : char {
    Pending = '.',
    Succeeded = 's',
    Failed = 'f',
    /// The item may have run and must not be repeated, so its outcome cannot be determined.
    Unknown = 'u',
    Cancelled = 'c',
};

struct OutcomeCounts {
    std::uint64_t total = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancelled = 0;

    [[nodiscard]] std::uint64_t finished() const
    {
        return succeeded + failed + unknown + cancelled;
    }

    bool operator==(OutcomeCounts const &) const = default;
};

/// A completely stored input. Immutable.
struct FileRecord {
    FileId id;
    CustomerId customer;
    UploadId upload;
    std::string filename;
    std::string purpose = "batch";
    std::uint64_t bytes = 0;
    std::uint32_t items = 0;
    /// Number of items in each chunk, so that a chunk's size is known before it is read.
    std::vector<std::uint32_t> chunkItems;
    std::string endpoint;
    std::vector<ServiceName> services;
    /// SHA-256 of the lines. Distinguishes a resend from different content.
    std::string digest;
    WallInstant created;
    WallInstant keepUntil;
};

enum class JobStatus {
    Open,
    Completed,
    Cancelled,
};

/// An accepted job. Updated at most twice: when a cancel is acknowledged and when every item has its outcome.
struct JobRecord {
    JobId id;
    CustomerId customer;
    FileId inputFile;
    UploadId upload;
    std::string endpoint;
    std::string completionWindow;
    std::map<std::string, std::string> metadata;
    std::uint32_t items = 0;
    std::vector<std::uint32_t> chunkItems;
    std::vector<ServiceName> services;
    /// Maximum number of attempts per item before it ends as failed.
    std::uint32_t attempts = 3;
    /// Digest of the submission. Distinguishes a resend from different content under the same key.
    std::string digest;
    WallInstant created;
    WallInstant due;
    WallInstant keepUntil;
    JobStatus status = JobStatus::Open;
    /// Default-constructed if no cancel was requested.
    WallInstant cancelRequestedAt;
    WallInstant finished;
    OutcomeCounts counts;

    [[nodiscard]] bool isCancelRequested() const
    {
        return cancelRequestedAt != WallInstant{};
    }
};

/// The data that runners need to order and claim an open job's chunks. Kept small, since every runner lists all open jobs.
struct OpenJob {
    JobId id;
    CustomerId customer;
    WallInstant due;
    WallInstant created;
    std::vector<ServiceName> services;

    bool operator==(OpenJob const &) const = default;
};

/// The stored state of one chunk. Changed only by conditional updates.
struct ChunkState {
    /// Instance and process that hold the lease. Empty if the lease is free.
    std::string owner;
    /// Identifies the write that created this version, so that a read shows whether a write with a lost reply was applied.
    std::string writer;
    Epoch epoch;
    WallInstant leaseDeadline;
    /// The ItemOutcome of each item, one character per item.
    std::string outcomes;
    /// Number of attempts used so far by item. Items without attempts have no entry.
    std::map<std::uint32_t, std::uint32_t> attempts;
    /// Number of holders that were lost with items of the chunk in flight. Instances fail every day, so the first loss makes no
    /// item a suspect.
    std::uint32_t losses = 0;
    /// Items that may have crashed an earlier holder.
    std::vector<std::uint32_t> suspects;
    /// Suspects that may run under this version.
    std::vector<std::uint32_t> trial;
    std::uint32_t trialSize = 1;
    /// Items that must not be repeated and may be sent under this version.
    std::vector<std::uint32_t> intents;
    /// Items that must not be repeated and may have been sent by an earlier holder. Their outcome is unknown.
    std::vector<std::uint32_t> doubtful;
    /// Names of the result parts that contain the result lines.
    std::vector<std::string> parts;

    [[nodiscard]] bool isDone() const
    {
        return outcomes.find(static_cast<char>(ItemOutcome::Pending)) == std::string::npos;
    }

    bool operator==(ChunkState const &) const = default;
};

void addOutcomes(OutcomeCounts &counts, std::string const &outcomes);

/// A line of the output or error file.
struct ResultLine {
    std::uint32_t item = 0;
    ItemOutcome outcome = ItemOutcome::Succeeded;
    /// JSON text without a line break.
    std::string line;

    bool operator==(ResultLine const &) const = default;
};

} // namespace Anvilyard::Batch
