#pragma once

#include "LibHttp/EventLoop.h"
#include "LibObserve/Metrics.h"
#include "LibPlatform/CallBudget.h"
#include "LibPlatform/HttpObjectStore.h"
#include "LibPlatform/ObjectStore.h"

#include <array>
#include <functional>
#include <memory>

namespace Anvilyard::Platform {

struct BudgetedObjectStoreOptions {
    Http::EventLoop &loop;
    /// Must outlive the budgeted store.
    ObjectStore &store;
    CallBudgetOptions budget;
    /// Longest time in the queue by class, in the order of CallClass. A call that waits longer fails with OverBudget.
    std::array<Duration, CallBudget::ClassCount> queueTimeouts = {2s, 5s, 10s, 5s};
    /// Counts the calls by class; optional.
    Observe::MetricsRegistry *metrics = nullptr;
    /// Returns the number of instances that share the fleet's limits, or 0 if it is unknown. Called for each call.
    std::function<std::size_t()> liveInstances;
};

struct BudgetedHttpStoreOptions {
    HttpObjectStoreOptions http;
    CallBudgetOptions budget;
    Observe::MetricsRegistry *metrics = nullptr;
    std::function<std::size_t()> liveInstances;
};

/// Fractions of an instance's share of the platform's limits by program. They add up to 1.
inline constexpr double AgentBudgetShare = 0.2;
inline constexpr double BatchBudgetShare = 0.4;
inline constexpr double EntryBudgetShare = 0.4;

/// Applies the call budget of one process to the calls of a store. Watches are counted but not delayed, since they are few
/// and each is opened once.
class BudgetedObjectStore : public ObjectStore
{
public:
    using ObjectStore::create;
    static std::unique_ptr<BudgetedObjectStore> create(BudgetedObjectStoreOptions options);
    /// Creates a budgeted store for the platform over HTTP.
    static std::unique_ptr<BudgetedObjectStore> createOverHttp(BudgetedHttpStoreOptions options);

    [[nodiscard]] virtual CallBudget const &budget() const = 0;
};

} // namespace Anvilyard::Platform
