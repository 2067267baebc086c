#pragma once

#include "Services/Node/NodeContext.h"

namespace Anvilyard::Node {

/// Keeps the evidence against requests that crash servers in the platform's store, in one object. An instance has it before it sends its
/// first request, also if all others have ended. It is written only when something is in quarantine, by the instance that saw the change.
class QuarantineRegister
{
public:
    explicit QuarantineRegister(NodeContext &context);

    /// Reads the evidence. Call once.
    void start();
    /// Writes what this instance has found out since.
    void onTick(Instant now);
    /// Records in the store that a request is sent as a trial after the end of a quarantine, before it is sent, so that of several
    /// instances one sends it. Calls back soon, with the time from which the trial counts; without one if another instance sends a trial.
    /// While the store does not respond, the trial is sent, as others learn of it from their peers.
    void reserveTrial(Serving::RequestSuspects suspects, std::function<void(std::optional<WallInstant>)> onDecided);
    /// Whether the evidence was read, or is no longer waited for as the store does not respond.
    [[nodiscard]] bool isReady(Instant now) const;

private:
    struct Reservation {
        Serving::RequestSuspects suspects;
        /// Time at which the trial was written, if the store may have it.
        std::optional<WallInstant> writtenAt = {};
        /// Null once it is decided.
        std::function<void(std::optional<WallInstant>)> onDecided;
        std::unique_ptr<Http::Timer> timeout;
    };

    void tryToReserve(std::shared_ptr<Reservation> const &reservation);
    void writeTrial(std::shared_ptr<Reservation> const &reservation, Result<Platform::Object> stored);
    /// Sends the request as the trial that counts from this time, if no other evidence holds it.
    void grant(Reservation &reservation, WallInstant at);
    static void refuse(Reservation &reservation);
    static void decide(Reservation &reservation, std::optional<WallInstant> trialAt);
    void read();
    void update();
    void write(Result<Platform::Object> stored);
    void onWritten(std::uint64_t changes, Result<Platform::Object> const &written);
    /// Merges the stored evidence. Returns whether it could be read.
    bool merge(Result<Platform::Object> const &stored);
    void retry(Error const &error);

    NodeContext &context_;
    Instant waitsUntil_ = Instant::min();
    bool isRead_ = false;
    std::unique_ptr<Http::Timer> readTimer_;
    /// Of PromptGuard::ownChanges().
    std::uint64_t writtenChanges_ = 0;
    Instant notBefore_ = Instant::min();
    bool isInFlight_ = false;
};

} // namespace Anvilyard::Node
