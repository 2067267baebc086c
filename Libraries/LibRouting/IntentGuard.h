#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Anvilyard::Routing {

/// Record that the platform stores for a request that must not be repeated. Its name is derived from the customer and the
/// idempotency key.
struct IntentRecord {
    /// Identifies the request that may be sent; unique to each request.
    std::string writer;
    /// Hash of the request's content, to detect that a key was reused with different content.
    std::string digest;
    enum class State {
        /// The request may have been sent.
        Begun,
        /// The request ran, and this is its response.
        Finished,
        /// The request ran, but its response was too large to store.
        FinishedUnkept,
    } state = State::Begun;
    /// The record may be deleted after this time, so a later resend may run again.
    WallInstant keepUntil = WallInstant::max();
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(IntentRecord const &) const = default;
};

/// Result of a store call, as far as it matters here.
enum class StoreOutcome {
    Done,
    AlreadyExists,
    NotFound,
    /// Refused or not reachable: certainly not applied.
    NotApplied,
    /// No reply was received; the call may have been applied.
    Unknown,
};

/// Next action for the owner of the guard.
enum class IntentAction {
    CreateIntent,
    ReadIntent,
    /// Send the request. Returned at most once for a request.
    Send,
    /// Respond with the recorded result.
    Replay,
    RefuseNotRun,
    RefuseOutcomeUnknown,
    /// The key was used with different content.
    RefuseConflict,
    /// Store the response in the record.
    RecordResult,
    /// Remove the record, because nothing ran.
    RemoveIntent,
    Nothing,
};

/// Result of sending the request.
enum class RunOutcome {
    Answered,
    NotRun,
    Unknown,
};

/// Ensures that a request with an idempotency key runs at most once, despite resends, other instances, crashes and lost
/// replies of the store. Only the writer of the stored intent may send, and only once. Performs no I/O: it returns actions
/// that the owner carries out.
class IntentGuard
{
public:
    /// `writer` must differ from that of any other request on any instance.
    IntentGuard(std::string writer, std::string digest, WallInstant keepUntil = WallInstant::max());

    [[nodiscard]] IntentAction start();
    [[nodiscard]] IntentAction onCreated(StoreOutcome outcome);
    /// `record` is set if the outcome is Done.
    [[nodiscard]] IntentAction onRead(StoreOutcome outcome, std::optional<IntentRecord> const &record);
    [[nodiscard]] IntentAction onRunEnded(RunOutcome outcome) const;

    /// Returns the record to create.
    [[nodiscard]] IntentRecord intent() const;

private:
    [[nodiscard]] IntentAction send();

    static constexpr int MaxCreates = 2;

    std::string writer_;
    std::string digest_;
    WallInstant keepUntil_;
    int creates_ = 0;
    enum class Stage {
        Idle,
        Creating,
        Reading,
        Sent,
        Over,
    } stage_ = Stage::Idle;
    /// Set if the record of another request exists, so an earlier request may have run.
    bool otherIntentExists_ = false;
};

} // namespace Anvilyard::Routing
