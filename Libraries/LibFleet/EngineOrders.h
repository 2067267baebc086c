#pragma once

#include "LibFleet/LeaseClaim.h"
#include "LibRules/RuleSet.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Anvilyard::Fleet {

/// A model version or an adapter that an engine has.
struct LoadedItem {
    ModelName model;
    ModelVersion version;
    /// Empty for the model itself.
    std::string adapter;

    auto operator<=>(LoadedItem const &) const = default;
};

/// Contents that an engine reports.
struct EngineContents {
    /// Ready to serve.
    std::set<LoadedItem> loaded;
    /// Ordered and in progress.
    std::set<LoadedItem> loading;
    std::string role;
};

/// Returns the first declared order that an engine has not fulfilled yet; models come before their adapters. Nothing is ever
/// unloaded.
std::optional<Rules::OrderRule> nextOrder(std::vector<Rules::OrderRule> const &declared, EngineContents const &contents);

/// Returns whether the engine has loaded the version that the route needs. Requests are routed to a version only once it is
/// loaded.
bool isRoutable(Rules::RouteRule const &route, EngineContents const &contents);

struct EngineOrdersOptions {
    /// An order is sent only if the lease remains valid for longer than this.
    Duration sendMargin = 2s;
    /// Maximum time to wait for the answer to an order. A load takes longer, because it reads from the weight store.
    Duration loadTimeout = 15min;
    Duration roleTimeout = 3s;
    /// Contents are read again after this delay following an order, and at this interval while nothing is to be done.
    Duration rereadDelay = 2s;
    Duration verifyInterval = 60s;
    LeaseOptions lease;
};

/// Lease that an action refers to: the engine's own, or one of the slots that limit the rate of reads from the weight store.
enum class LeaseKind {
    Engine,
    WeightStore,
};

struct CallLease {
    LeaseKind lease = LeaseKind::Engine;
    LeaseAction call;
};

/// Answered by onContents() or onNoContents().
struct ReadContents {
};

/// Must not be sent after `sendBy`; answered by onOrderAnswer().
struct IssueOrder {
    Rules::OrderRule order;
    Epoch fencingNumber;
    Instant sendBy;
};

using EngineAction = std::variant<CallLease, ReadContents, IssueOrder>;
using EngineActions = std::vector<EngineAction>;

enum class OrderAnswer {
    Done,
    /// The engine has seen a higher fencing number.
    FencedOff,
    Failed,
    /// No answer was received; the order may or may not take effect.
    Unknown,
};

/// Lets one instance bring an engine to the state declared by the rules. Orders are given only under the engine's lease;
/// loads also need a weight store slot. Contents are read back and corrected, because an engine without fencing may have
/// executed a late order of a former issuer. Performs no I/O.
class EngineOrders
{
public:
    EngineOrders(InstanceId self, std::string process, EngineOrdersOptions options);

    /// Whether rendezvous hashing assigns the engine to this instance (`Preferred`) or to another one.
    enum class Preference {
        Preferred,
        Other,
    };
    /// Sets the orders that are currently declared for this engine.
    void setDeclared(std::vector<Rules::OrderRule> declared, Generation generation, Preference preference);

    EngineActions onTick(Instant now);
    EngineActions onLeaseRead(LeaseKind lease, std::optional<StoredLease> const &stored, Instant now);
    EngineActions onLeaseWritten(LeaseKind lease, std::string const &version, Instant now);
    EngineActions onLeaseConflict(LeaseKind lease, Instant now);
    void onLeaseNoAnswer(LeaseKind lease, Instant now);
    EngineActions onContents(EngineContents contents, Instant now);
    void onNoContents(Instant now);
    EngineActions onOrderAnswer(OrderAnswer answer, Instant now);

private:
    [[nodiscard]] LeaseClaim &claimOf(LeaseKind lease);
    [[nodiscard]] bool needsWeightStore(Rules::OrderRule const &order) const;
    EngineActions act(Instant now);
    EngineActions maintainLeases(Rules::OrderRule const &order, Instant now);
    EngineActions issue(Rules::OrderRule const &order, Instant now);
    EngineActions releaseLeases(Instant now);
    static EngineActions wrap(LeaseKind lease, LeaseActions const &calls);

    EngineOrdersOptions options_;
    std::vector<Rules::OrderRule> declared_;
    Generation generation_;
    Preference preference_ = Preference::Other;
    LeaseClaim engineLease_;
    LeaseClaim weightStoreLease_;
    std::optional<EngineContents> contents_;
    std::optional<Rules::OrderRule> inFlight_;
    Instant nextRead_;
    enum class Order {
        None,
        /// An order was given and its answer is awaited.
        InFlight,
        /// No answer was received, so the lease must expire by itself.
        InDoubt,
    } order_ = Order::None;
    Instant orderTimeoutAt_;
};

} // namespace Anvilyard::Fleet
