#include "LibFleet/EngineOrders.h"

#include <algorithm>

namespace Anvilyard::Fleet {

namespace {

LoadedItem itemOf(Rules::OrderRule const &order)
{
    return {.model = order.model, .version = order.version, .adapter = order.adapter};
}

bool isFulfilled(Rules::OrderRule const &order, EngineContents const &contents)
{
    if (order.kind == Rules::OrderKind::ChangeRole)
        return contents.role == order.role;
    return contents.loaded.contains(itemOf(order)) || contents.loading.contains(itemOf(order));
}

} // namespace

std::optional<Rules::OrderRule> nextOrder(std::vector<Rules::OrderRule> const &declared, EngineContents const &contents)
{
    for (auto const kind : {Rules::OrderKind::LoadModel, Rules::OrderKind::LoadAdapter, Rules::OrderKind::ChangeRole}) {
        for (auto const &order : declared) {
            if (order.kind == kind && !isFulfilled(order, contents))
                return order;
        }
    }
    return std::nullopt;
}

bool isRoutable(Rules::RouteRule const &route, EngineContents const &contents)
{
    return std::any_of(contents.loaded.begin(), contents.loaded.end(), [&](LoadedItem const &item) {
        auto const isVersion = route.version.value().empty() || item.version == route.version;
        return item.model == route.model && isVersion && item.adapter.empty();
    });
}

EngineOrders::EngineOrders(InstanceId self, std::string process, EngineOrdersOptions options)
    : options_(options)
    , engineLease_(self, process, options_.lease)
    , weightStoreLease_(self, process, options_.lease)
{
}

void EngineOrders::setDeclared(std::vector<Rules::OrderRule> declared, Generation generation, Preference preference)
{
    declared_ = std::move(declared);
    generation_ = generation;
    preference_ = preference;
}

EngineActions EngineOrders::onTick(Instant now)
{
    if (order_ == Order::InFlight && now >= orderTimeoutAt_)
        order_ = Order::InDoubt;
    if (declared_.empty())
        return {};
    auto const isResponsible = preference_ == Preference::Preferred || engineLease_.isHeld(now);
    if (!isResponsible)
        return {};
    if (now >= nextRead_) {
        nextRead_ = now + (engineLease_.isHeld(now) ? options_.rereadDelay : options_.verifyInterval);
        return {ReadContents{}};
    }
    return act(now);
}

/// Claims the leases that the next order needs and gives the order, or releases the leases if there is none.
EngineActions EngineOrders::act(Instant now)
{
    if (order_ == Order::InFlight)
        return maintainLeases(*inFlight_, now);
    if (!contents_)
        return {};
    auto const order = nextOrder(declared_, *contents_);
    if (!order)
        return releaseLeases(now);
    auto actions = maintainLeases(*order, now);
    auto const mayLoad = !needsWeightStore(*order) || weightStoreLease_.isHeld(now);
    // The order must be sent before the lease expires by the local clock.
    if (mayLoad && engineLease_.isHeld(now) && now + options_.sendMargin < engineLease_.endsAt()) {
        auto const issued = issue(*order, now);
        actions.insert(actions.end(), issued.begin(), issued.end());
    }
    return actions;
}

EngineActions EngineOrders::maintainLeases(Rules::OrderRule const &order, Instant now)
{
    auto actions = wrap(LeaseKind::Engine, engineLease_.onTick(generation_, now));
    // The engine's lease is always claimed first. Otherwise two instances with one lease each could wait for each other
    // forever.
    auto const wantsWeightStore = needsWeightStore(order) && engineLease_.isHeld(now);
    auto const calls =
        wrap(LeaseKind::WeightStore, wantsWeightStore ? weightStoreLease_.onTick(generation_, now) : weightStoreLease_.release(now));
    actions.insert(actions.end(), calls.begin(), calls.end());
    return actions;
}

EngineActions EngineOrders::issue(Rules::OrderRule const &order, Instant now)
{
    order_ = Order::InFlight;
    inFlight_ = order;
    orderTimeoutAt_ = now + (needsWeightStore(order) ? options_.loadTimeout : options_.roleTimeout);
    // Contents read before the order are outdated.
    contents_.reset();
    return {IssueOrder{
        .order = order,
        .fencingNumber = engineLease_.epoch(),
        .sendBy = engineLease_.endsAt() - options_.sendMargin,
    }};
}

EngineActions EngineOrders::releaseLeases(Instant now)
{
    // An order in doubt may still take effect, so its lease must expire rather than be released early.
    if (order_ == Order::InDoubt)
        return {};
    auto actions = wrap(LeaseKind::Engine, engineLease_.release(now));
    auto const calls = wrap(LeaseKind::WeightStore, weightStoreLease_.release(now));
    actions.insert(actions.end(), calls.begin(), calls.end());
    return actions;
}

EngineActions EngineOrders::onContents(EngineContents contents, Instant now)
{
    contents_ = std::move(contents);
    if (order_ == Order::InDoubt && !engineLease_.isHeld(now))
        order_ = Order::None;
    return act(now);
}

void EngineOrders::onNoContents(Instant now)
{
    nextRead_ = now + options_.rereadDelay;
}

EngineActions EngineOrders::onOrderAnswer(OrderAnswer answer, Instant now)
{
    if (order_ == Order::InFlight)
        order_ = answer == OrderAnswer::Unknown ? Order::InDoubt : Order::None;
    if (answer == OrderAnswer::FencedOff)
        engineLease_.invalidate();
    nextRead_ = now + options_.rereadDelay;
    if (answer == OrderAnswer::Done)
        nextRead_ = now;
    return {};
}

EngineActions EngineOrders::onLeaseRead(LeaseKind lease, std::optional<StoredLease> const &stored, Instant now)
{
    auto actions = wrap(lease, claimOf(lease).onRead(stored, now));
    // A new holder must use the engine's current contents, not those read before it waited for the lease.
    if (lease == LeaseKind::Engine && engineLease_.isHeld(now)) {
        contents_.reset();
        nextRead_ = now;
    }
    return actions;
}

EngineActions EngineOrders::onLeaseWritten(LeaseKind lease, std::string const &version, Instant now)
{
    auto const wasHeld = claimOf(lease).isHeld(now);
    auto actions = wrap(lease, claimOf(lease).onWritten(version, now));
    if (lease == LeaseKind::Engine && !wasHeld && engineLease_.isHeld(now)) {
        contents_.reset();
        nextRead_ = now;
    }
    return actions;
}

EngineActions EngineOrders::onLeaseConflict(LeaseKind lease, Instant now)
{
    return wrap(lease, claimOf(lease).onConflict(now));
}

void EngineOrders::onLeaseNoAnswer(LeaseKind lease, Instant now)
{
    claimOf(lease).onNoAnswer(now);
}

LeaseClaim &EngineOrders::claimOf(LeaseKind lease)
{
    return lease == LeaseKind::Engine ? engineLease_ : weightStoreLease_;
}

bool EngineOrders::needsWeightStore(Rules::OrderRule const &order) const
{
    return order.kind != Rules::OrderKind::ChangeRole;
}

EngineActions EngineOrders::wrap(LeaseKind lease, LeaseActions const &calls)
{
    EngineActions actions;
    for (auto const &call : calls)
        actions.emplace_back(CallLease{.lease = lease, .call = call});
    return actions;
}

} // namespace Anvilyard::Fleet
