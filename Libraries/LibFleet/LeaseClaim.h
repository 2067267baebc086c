#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Anvilyard::Fleet {

/// A lease as stored by the platform.
struct LeaseRecord {
    InstanceId holder;
    /// Increases with each new holder; also the fencing number of the holder's orders.
    Epoch epoch;
    Duration length{0};
    enum class State {
        Held,
        Released,
    } state = State::Held;
    /// Newest rules that a holder acted on; an instance with older ones does not take the lease.
    Generation generation;
    /// Unique to one write, so that the writer recognises its own record after a lost answer.
    std::string writer;
};

struct StoredLease {
    LeaseRecord record;
    /// The platform's version for conditional updates.
    std::string version;
};

struct LeaseOptions {
    Duration length = 15s;
    /// Maximum relative difference in speed between two clocks.
    double clockDrift = 0.01;
    /// Maximum time after the lease's end at which a call sent before it may still take effect.
    Duration lateEffect = 5s;
};

struct ReadLease {
};

/// Creates the lease, or replaces it if it still has this version.
struct WriteLease {
    LeaseRecord record;
    std::optional<std::string> expectedVersion;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;
using LeaseActions = std::vector<LeaseAction>;

/// Claim of one instance on one lease. The lease is taken if it is absent, released, or unchanged for its length by the local
/// clock. It is used for less than its length by the local clock, counted from before the write was sent. Holders therefore
/// never overlap, despite pauses, lost answers and clock offsets. Performs no I/O.
class LeaseClaim
{
public:
    /// `process` distinguishes this process from a predecessor with the same name.
    LeaseClaim(InstanceId self, std::string process, LeaseOptions options);

    /// To be called regularly while the lease is wanted.
    LeaseActions onTick(Generation generation, Instant now);
    LeaseActions onRead(std::optional<StoredLease> const &lease, Instant now);
    LeaseActions onWritten(std::string const &version, Instant now);
    LeaseActions onConflict(Instant now);
    /// No answer was received, or the platform was unavailable.
    void onNoAnswer(Instant now);
    /// Releases the lease. To be called only if none of the calls made under the lease can still take effect.
    LeaseActions release(Instant now);
    /// Marks the lease as no longer usable, for instance after a higher epoch was seen.
    void invalidate();

    [[nodiscard]] bool isHeld(Instant now) const;
    [[nodiscard]] Epoch epoch() const;
    /// Returns the time by which all calls under the lease must have been sent.
    [[nodiscard]] Instant endsAt() const;

private:
    LeaseActions write(LeaseRecord record, std::optional<std::string> expectedVersion, Instant now);
    LeaseActions takeOver(StoredLease const &lease, Instant now);
    [[nodiscard]] Duration holdDuration() const;
    [[nodiscard]] Duration takeoverDelay(Duration length) const;

    struct PendingWrite {
        LeaseRecord record;
        Instant at;
    };

    struct Observed {
        StoredLease lease;
        Instant firstSeen;
    };

    InstanceId self_;
    std::string process_;
    LeaseOptions options_;
    std::uint64_t writes_ = 0;
    Generation generation_;
    /// Writes with an unknown outcome; each may still take effect.
    std::vector<PendingWrite> pendingWrites_;
    std::optional<Observed> observed_;
    std::optional<Epoch> heldEpoch_;
    Instant endsAt_;
    std::string heldVersion_;
    Instant nextCall_;
};

} // namespace Anvilyard::Fleet
