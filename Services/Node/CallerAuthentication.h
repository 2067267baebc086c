#pragma once

#include "LibServing/RouteTable.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Anvilyard::Node {

/// Decides from the key that a caller presents which customer it belongs to, and whether it needs a key. Allocates no memory. Valid as long
/// as the route table.
class CallerAuthentication
{
public:
    enum class Outcome {
        /// The desired state has no customers.
        NotRequired,
        /// The caller presents no valid key and needs none here.
        Public,
        Accepted,
        KeyMissing,
        KeyUnknown,
    };

    /// Checks a request to a route. `key` is unset if the caller presents none.
    [[nodiscard]] static CallerAuthentication
    ofRequest(Serving::RouteTable const &routes, Serving::Route const &route, std::optional<std::string_view> key);
    /// Checks a call about a batch job, which needs no key if batch jobs of the host need none.
    [[nodiscard]] static CallerAuthentication
    ofJobCall(Serving::RouteTable const &routes, std::string_view host, std::optional<std::string_view> key);

    [[nodiscard]] Outcome outcome() const;
    [[nodiscard]] bool isRefused() const;
    /// Returns null unless the outcome is Accepted.
    [[nodiscard]] Serving::Customer const *customer() const;
    /// Returns the customer for AttemptParameters: empty for a caller without a key, unset if the desired state has no customers.
    [[nodiscard]] std::optional<CustomerId> customerId() const;

private:
    enum class KeyNeed {
        Required,
        Optional,
    };

    CallerAuthentication(Outcome outcome, Serving::Customer const *customer);
    static CallerAuthentication check(Serving::RouteTable const &routes, std::optional<std::string_view> key, KeyNeed need);

    Outcome outcome_;
    Serving::Customer const *customer_;
};

/// Name of an outcome in metrics.
[[nodiscard]] char const *nameOf(CallerAuthentication::Outcome outcome);

/// Priority of the requests of a customer, or of a caller without one, on a route.
[[nodiscard]] std::int64_t effectivePriority(Serving::Route const &route, Serving::Customer const *customer);

} // namespace Anvilyard::Node
