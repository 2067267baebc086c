#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibFleet/PeerMessages.h"
#include "LibFleet/UpdateQueue.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Anvilyard::Fleet {

struct MembershipOptions {
    /// Time that a suspected instance has to refute the suspicion.
    Duration suspicionTimeout = 8s;
    /// Time for which dead instances are kept, longer than regions are usually partitioned.
    Duration deadRetention = 2h;
    /// Number of agents asked to probe an instance that did not answer.
    std::size_t helpers = 3;
    /// A gap between two events longer than this shows that this process was paused.
    Duration pauseThreshold = 1s;
    /// Maximum number of records in one message.
    std::size_t recordsPerMessage = 5;
};

/// Asks `through` whether it reaches `target`; answered by onIndirectAnswer().
struct ProbeThrough {
    InstanceId through;
    Address throughAddress;
    InstanceId target;
    Address targetAddress;
};

/// A member's state changed in the view of this instance.
struct MemberChanged {
    InstanceId id;
    MemberState state = MemberState::Alive;
};

using MembershipAction = std::variant<ProbeThrough, MemberChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// Members of the fleet, determined by probes and by records passed on between peers. An instance that does not answer is
/// suspected only if other instances cannot reach it either, and declared dead only if it does not refute the suspicion in
/// time. Performs no I/O.
class Membership
{
public:
    Membership(InstanceRecord self, MembershipOptions options);

    /// A peer answered a message of ours or sent one itself.
    MembershipActions onMessageFrom(InstanceId const &peer, Incarnation incarnation, Instant now);
    MembershipActions onRecords(std::vector<InstanceRecord> const &records, Instant now);
    /// A message to a peer, sent at `sentAt`, was not answered.
    MembershipActions onNoAnswer(InstanceId const &peer, Instant sentAt, RandomSource &random, Instant now);
    enum class Reach {
        Reached,
        NotReached,
    };
    MembershipActions onIndirectAnswer(InstanceId const &target, Reach reach, Instant now);
    /// The platform's list shows that an instance is being stopped.
    MembershipActions onListedLeaving(InstanceId const &id, Instant now);
    /// The platform's list no longer contains an instance; a dead one need not be contacted again.
    void onUnlisted(InstanceId const &id);
    MembershipActions onTick(Instant now);
    /// This instance is about to stop.
    void leave();
    void setOwnGeneration(Generation generation);

    /// Returns a bounded number of records for one message: this instance's own record, recent changes and, if there is room,
    /// a random record, which disseminates the generations in force.
    std::vector<InstanceRecord> takeUpdates(RandomSource &random);
    [[nodiscard]] std::vector<InstanceRecord> allRecords() const;
    [[nodiscard]] InstanceRecord const &self() const;
    [[nodiscard]] InstanceRecord const *find(InstanceId const &id) const;
    /// Other members that are not dead. The pointers are valid until the next event.
    [[nodiscard]] std::vector<InstanceRecord const *> livePeers() const;
    [[nodiscard]] std::vector<InstanceRecord const *> deadPeers() const;
    /// Increases whenever a member joins, is removed or changes its state.
    [[nodiscard]] std::uint64_t changeCount() const;
    /// Equal on instances with the same view of the membership.
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] std::size_t liveCount() const;

private:
    struct Member {
        InstanceRecord record;
        /// Time at which a suspected member is declared dead, or a dead one removed.
        std::optional<Instant> deadline;
    };

    /// Helpers asked about a member that did not answer.
    struct IndirectProbe {
        std::size_t unanswered = 0;
    };

    void detectPause(Instant now);
    MembershipActions merge(InstanceRecord const &record, Instant now);
    void refute(InstanceRecord const &claim);
    void change(Member &member, MemberState state, Instant now, MembershipActions &actions);
    void updateNextDeadline(Member const &member);
    void raiseSuspicion(Member &member, Instant now, MembershipActions &actions);
    [[nodiscard]] std::vector<InstanceRecord const *> pickHelpers(InstanceId const &target, RandomSource &random) const;
    [[nodiscard]] std::size_t sendLimit() const;

    MembershipOptions options_;
    InstanceRecord self_;
    std::map<InstanceId, Member> members_;
    std::map<InstanceId, IndirectProbe> indirectProbes_;
    UpdateQueue<InstanceId> pendingUpdates_;
    std::uint64_t changeCount_ = 0;
    /// Not later than the first deadline of a member.
    std::optional<Instant> nextDeadline_;
    /// Computed on demand after a change.
    mutable std::optional<std::uint64_t> digest_;
    mutable std::optional<std::size_t> liveCount_;
    std::optional<Instant> lastEvent_;
    /// Missing answers to messages sent before this instant are ignored, because this process was paused.
    std::optional<Instant> pausedUntil_;
};

} // namespace Anvilyard::Fleet
