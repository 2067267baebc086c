#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibFleet/FleetView.h"
#include "LibFleet/JobsMark.h"
#include "LibFleet/Membership.h"
#include "LibFleet/RulesDistributor.h"
#include "LibFleet/ServerTable.h"
#include "LibFleet/WatcherElection.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Anvilyard::Fleet {

struct FleetNodeOptions {
    InstanceRecord self;
    /// Agents contacted first, and again while no peer is known.
    std::vector<Address> seeds;
    RandomSource::result_type randomSeed = 0;
    /// Interval between exchanges with a random peer.
    Duration exchangeInterval = 1s;
    /// Interval in a large fleet, where most exchanges open a connection.
    Duration exchangeIntervalInLargeFleet = 2s;
    std::size_t largeFleetSize = 33;
    /// Interval at which watchers read the platform's rules.
    Duration rulesReadInterval = 1s;
    /// Interval at which the list is read. It grows with the number of servers, because the list does; the watchers take
    /// turns.
    Duration listReadInterval = 1s;
    Duration listReadIntervalPerServer = 30ms;
    /// Maximum interval between reads while the platform is unavailable.
    Duration maxReadInterval = 8s;
    /// Number of peers that changes are pushed to in each burst, number of bursts, and the interval between them. A second
    /// burst is needed because one would miss some peers.
    std::size_t pushFanout = 3;
    int pushBursts = 2;
    Duration pushInterval = 100ms;
    /// Interval at which a dead instance is contacted again, so that regions reconnect after a partition.
    Duration deadRetryInterval = 5s;
    /// Interval at which seeds are contacted while no peer is known.
    Duration isolatedRetryInterval = 500ms;
    /// Complete tables are requested at most at this interval, and only once this many more peers differed than agreed. After
    /// a change the incremental updates alone usually make the tables agree.
    Duration fullSyncInterval = 5s;
    int fullSyncThreshold = 4;
    /// Number of consecutive peers with equal tables after which server updates are no longer attached to messages.
    int convergedAfter = 8;
    MembershipOptions membership;
    ServerTableOptions servers;
    RulesDistributorOptions rules;
};

/// Send an exchange; answered by onReply() or onNoReply() with the same address.
struct SendExchange {
    Address to;
    /// Empty if only the address is known.
    InstanceId peer;
    Exchange message;
};

/// Read the platform's rule set of this generation; answered by onRulesRead() or onRulesNotRead().
struct ReadRules {
    Generation generation;
};

/// Read the platform's instance list; answered by onListRead() or onListNotRead().
struct ReadList {
};

/// The view changed; see view().
struct ViewChanged {
};

/// Outcome of an offered rule set, for the log.
struct RulesOffered {
    Generation generation;
    OfferOutcome outcome = OfferOutcome::NotNewer;
};

using FleetAction = std::variant<SendExchange, ProbeThrough, ReadRules, ReadList, ViewChanged, MemberChanged, RulesOffered>;
using FleetActions = std::vector<FleetAction>;

/// The instance list as read from the platform.
struct InstanceListing {
    struct OwnInstance {
        InstanceId id;
        Address agentAddress;
        enum class Listed {
            Serving,
            Leaving,
        } listed = Listed::Serving;
    };

    std::vector<BackendServer> servers;
    std::vector<OwnInstance> instances;
};

/// Reason why a requested rule set was not read.
enum class RulesReadError {
    Missing,
    /// The platform was unavailable, refused the call or sent an invalid answer.
    Failed,
};

/// Makes all decisions of an agent: membership, rules, servers and job changes, disseminated by exchanges with peers.
/// Performs no I/O: the agent carries out the actions and reports events.
class FleetNode
{
public:
    explicit FleetNode(FleetNodeOptions options);

    FleetActions onTick(CurrentTime now);
    /// Handles a message from another agent; `reply` is set to the answer.
    FleetActions onExchange(Exchange const &message, Exchange &reply, CurrentTime now);
    FleetActions onReply(Address const &from, Exchange const &message, CurrentTime now);
    FleetActions onNoReply(Address const &to, InstanceId const &peer, Instant sentAt, CurrentTime now);
    FleetActions onIndirectAnswer(InstanceId const &target, Membership::Reach reach, CurrentTime now);
    FleetActions onRulesRead(RuleSetUpdate const &rules, CurrentTime now);
    FleetActions onRulesNotRead(RulesReadError answer, CurrentTime now);
    FleetActions onListRead(InstanceListing const &listing, CurrentTime now);
    FleetActions onListNotRead(CurrentTime now);
    FleetActions onRaiseJobsMark(CurrentTime now);
    /// Announces the shutdown; the returned exchanges should be sent before the process ends.
    FleetActions leave(CurrentTime now);

    /// Returns whether rules and servers are available.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::shared_ptr<FleetView const> view() const;
    [[nodiscard]] Membership const &membership() const;
    [[nodiscard]] RulesDistributor const &rules() const;
    [[nodiscard]] ServerTable const &servers() const;
    [[nodiscard]] JobsMark const &jobsMark() const;
    [[nodiscard]] bool watchesPlatform() const;

private:
    /// Schedule for reading one object of the platform; the interval grows while the platform is unavailable.
    struct ReadSchedule {
        Instant next;
        Duration wait{0};
    };

    Exchange makeMessage();
    void addRecordOf(InstanceId const &peer, Exchange &message) const;
    void applyMessage(Exchange const &message, CurrentTime now, FleetActions &actions);
    void applyMembership(MembershipActions const &changes, FleetActions &actions);
    void notifySuspects(MembershipActions const &changes, FleetActions &actions);
    void applyRules(RuleSetUpdate const &update, FleetActions &actions);
    void exchangeWith(InstanceRecord const &peer, FleetActions &actions);
    void followUp(Address const &to, Exchange const &answer, FleetActions &actions);
    [[nodiscard]] Duration currentExchangeInterval() const;
    void exchangeWithRandomPeer(CurrentTime now, FleetActions &actions);
    void contactDisconnected(CurrentTime now, FleetActions &actions);
    [[nodiscard]] bool isLiveAddress(Address const &address) const;
    void push(FleetActions &actions);
    void readPlatform(CurrentTime now, FleetActions &actions);
    void backOff(ReadSchedule &reading, CurrentTime now);
    [[nodiscard]] Instant nextListRead(std::size_t servers, CurrentTime now) const;
    void finish(CurrentTime now, FleetActions &actions);

    FleetNodeOptions options_;
    RandomSource random_;
    Membership membership_;
    RulesDistributor rules_;
    ServerTable servers_;
    JobsMark jobsMark_;
    /// Agent addresses from the platform's list for which there is no member record.
    std::map<InstanceId, Address> unknownListedInstances_;
    std::set<InstanceId> lastListed_;
    std::vector<InstanceId> probeOrder_;
    std::optional<Instant> nextExchange_;
    Instant nextRetry_;
    Instant nextPush_;
    /// Our generation and the peer's at the last follow-up to each peer.
    std::map<InstanceId, std::pair<Generation, Generation>> followUps_;
    Instant nextFullSync_;
    ReadSchedule rulesSchedule_;
    ReadSchedule listSchedule_;
    /// Number of recent peers whose tables differed minus the number of those whose tables agreed, limited to the range from 0
    /// to `fullSyncThreshold`. At first no tables can agree.
    int divergence_ = 0;
    int consecutiveAgreements_ = 0;
    bool isWatcher_ = false;
    /// Membership::changeCount() at the last election of the watchers.
    std::optional<std::uint64_t> electionChangeCount_;
    std::optional<WatcherPlace> watcherPlace_;
    /// Bursts still to be sent for the latest changes.
    int pendingBursts_ = 0;
    bool viewChanged_ = false;
};

} // namespace Anvilyard::Fleet
