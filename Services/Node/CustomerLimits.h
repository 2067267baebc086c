#pragma once

#include "LibRouting/FractionLimiter.h"
#include "LibRouting/LimitCoordinator.h"
#include "LibServing/LimitMessages.h"
#include "Services/Node/NodeContext.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Anvilyard::Node {

/// Rate limits of customers over all instances. On an entry it decides on requests and reports their counts to the runners that coordinate
/// the limits; on a runner it answers these reports. Without customers that have a limit it sends nothing and admits everything.
class CustomerLimits
{
public:
    using SendDatagram = std::function<void(Address const &, std::string const &)>;

    CustomerLimits(NodeContext &context, SendDatagram send);

    /// Charges a request to its customer. Returns `std::nullopt` if it is admitted, otherwise the time after which the caller may retry.
    [[nodiscard]] std::optional<Duration> tryAdmit(Serving::Customer const &customer, Instant now);
    /// Reads the limits from the desired state in force.
    void onStateChanged(Instant now);
    /// Sends the reports that are due. Call about 20 times a second.
    void onTick(Instant now);
    /// Updates the metrics of customers.
    void refreshMetrics(Instant now);

private:
    struct Metrics {
        Observe::Counter *admitted = nullptr;
        Observe::Counter *refused = nullptr;
        Observe::Gauge *fraction = nullptr;
        std::uint64_t admittedBefore = 0;
        std::uint64_t refusedBefore = 0;
    };

    void onDatagram(std::string_view content);
    void onReport(Serving::AddressedLimitReport const &addressed, Instant now);
    void sendReports(Instant now);
    void scheduleReports(Instant now);
    void refreshInstances(Instant now);
    void logGrantChange(Instant now);
    void logLimitedCustomers(Instant now);
    [[nodiscard]] Metrics &metricsOf(CustomerId const &customer);

    NodeContext &context_;
    SendDatagram send_;
    std::shared_ptr<Serving::RouteTable const> appliedRoutes_;
    bool hasLimits_ = false;
    /// Entries only.
    std::optional<Routing::FractionLimiter> limiter_;
    /// Runners only.
    std::optional<Routing::LimitCoordinator> coordinator_;
    std::uint64_t seenTopology_ = 0;
    std::optional<Instant> instancesRefreshAt_;
    std::unique_ptr<Http::Timer> reportTimer_;
    bool isUngranted_ = false;
    /// Customers beyond their limits and until when they count as such, so that short pauses are not logged.
    std::map<CustomerId, Instant> limitedUntil_;
    std::map<CustomerId, Metrics> metrics_;
};

} // namespace Anvilyard::Node
