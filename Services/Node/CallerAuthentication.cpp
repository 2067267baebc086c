#include "Services/Node/CallerAuthentication.h"

namespace Anvilyard::Node {

CallerAuthentication::CallerAuthentication(Outcome outcome, Serving::Customer const *customer)
    : outcome_(outcome)
    , customer_(customer)
{
}

CallerAuthentication
CallerAuthentication::ofRequest(Serving::RouteTable const &routes, Serving::Route const &route, std::optional<std::string_view> key)
{
    return check(routes, key, route.isPublic ? KeyNeed::Optional : KeyNeed::Required);
}

CallerAuthentication
CallerAuthentication::ofJobCall(Serving::RouteTable const &routes, std::string_view host, std::optional<std::string_view> key)
{
    auto const *route = routes.findBatchRoute(host);
    return check(routes, key, route && route->isPublic ? KeyNeed::Optional : KeyNeed::Required);
}

CallerAuthentication CallerAuthentication::check(Serving::RouteTable const &routes, std::optional<std::string_view> key, KeyNeed need)
{
    auto const *customers = routes.customers();
    if (!customers)
        return {Outcome::NotRequired, nullptr};
    if (auto const *customer = key ? customers->findByKey(*key) : nullptr)
        return {Outcome::Accepted, customer};
    if (need == KeyNeed::Optional)
        return {Outcome::Public, nullptr};
    return {key ? Outcome::KeyUnknown : Outcome::KeyMissing, nullptr};
}

CallerAuthentication::Outcome CallerAuthentication::outcome() const
{
    return outcome_;
}

bool CallerAuthentication::isRefused() const
{
    return outcome_ == Outcome::KeyMissing || outcome_ == Outcome::KeyUnknown;
}

Serving::Customer const *CallerAuthentication::customer() const
{
    return customer_;
}

std::optional<CustomerId> CallerAuthentication::customerId() const
{
    if (outcome_ == Outcome::NotRequired)
        return std::nullopt;
    return customer_ ? customer_->id : CustomerId();
}

char const *nameOf(CallerAuthentication::Outcome outcome)
{
    switch (outcome) {
    case CallerAuthentication::Outcome::NotRequired:
        return "not_required";
    case CallerAuthentication::Outcome::Public:
        return "public";
    case CallerAuthentication::Outcome::Accepted:
        return "accepted";
    case CallerAuthentication::Outcome::KeyMissing:
        return "key_missing";
    case CallerAuthentication::Outcome::KeyUnknown:
        return "key_unknown";
    }
    return "unknown";
}

std::int64_t effectivePriority(Serving::Route const &route, Serving::Customer const *customer)
{
    return customer ? customer->priority.value_or(route.priority) : route.priority;
}

} // namespace Anvilyard::Node
