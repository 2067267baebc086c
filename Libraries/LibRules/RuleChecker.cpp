#include "LibRules/RuleChecker.h"

#include <algorithm>
#include <map>
#include <set>

namespace Anvilyard::Rules {

namespace {

constexpr std::string_view EachCustomer = "*";

/// Roles accepted by the engines' role call.
std::set<std::string> const &engineRoles()
{
    static std::set<std::string> const roles = {"both", "prefill", "decode"};
    return roles;
}

std::string orderKey(OrderRule const &rule)
{
    auto const server = rule.server.value();
    switch (rule.kind) {
    case OrderKind::LoadModel:
        return "load-model " + server + " " + rule.model.value() + " " + rule.version.value();
    case OrderKind::LoadAdapter:
        return "load-adapter " + server + " " + rule.model.value() + " " + rule.adapter;
    case OrderKind::ChangeRole:
        return "change-role " + server;
    }
    return {};
}

class RuleChecker
{
public:
    RuleChecker(RuleSet const &rules, ParsedLines parsedLines)
        : rules_(rules)
        , parsedLines_(parsedLines)
    {
        for (auto const &rule : rules_.pools)
            poolKinds_.try_emplace(rule.pool, rule.kind);
        for (auto const &rule : rules_.customers)
            customers_.insert(rule.customer);
        for (auto const &rule : rules_.routes)
            services_.insert(rule.service);
    }

    std::vector<RuleFault> check()
    {
        checkDuplicates();
        checkRoutes();
        checkServices();
        checkCustomers();
        checkBatches();
        checkOrders();
        std::stable_sort(faults_.begin(), faults_.end(), [](auto const &left, auto const &right) { return left.line < right.line; });
        return std::move(faults_);
    }

private:
    void addFault(RuleOrigin const &origin, std::string message, std::string hint)
    {
        faults_.push_back({.line = origin.line, .message = std::move(message), .hint = std::move(hint)});
    }

    void addUnknown(RuleOrigin const &origin, std::string message, std::string hint)
    {
        if (parsedLines_ == ParsedLines::All)
            addFault(origin, std::move(message), std::move(hint));
    }

    template<typename Rule, typename KeyOf>
    void checkDuplicatesIn(std::vector<Rule> const &list, std::string const &what, KeyOf keyOf)
    {
        std::map<std::string, RuleOrigin> seen;
        for (auto const &rule : list) {
            auto const key = keyOf(rule);
            auto const [first, isNew] = seen.try_emplace(key, rule.origin);
            if (isNew)
                continue;
            auto const &other = first->second;
            addFault(rule.origin,
                     what + " " + key + " is already defined in line " + std::to_string(other.line) + ", asked by " + other.requester,
                     "keep only one of the two lines");
        }
    }

    void checkDuplicates()
    {
        checkDuplicatesIn(rules_.pools, "pool", [](auto const &rule) { return rule.pool.value(); });
        checkDuplicatesIn(rules_.routes, "service", [](auto const &rule) {
            return rule.service.value() + " to " + rule.pool.value() + " " + rule.model.value() + " " + rule.version.value();
        });
        checkDuplicatesIn(rules_.customers, "customer", [](auto const &rule) { return rule.customer.value(); });
        checkDuplicatesIn(rules_.customers, "key", [](auto const &rule) { return rule.keySha256; });
        checkDuplicatesIn(rules_.limits, "limit", [](auto const &rule) { return rule.customer.value() + " of " + rule.service.value(); });
        checkDuplicatesIn(rules_.batches, "batch", [](auto const &rule) { return rule.pool.value(); });
        checkDuplicatesIn(rules_.leaving, "leaving", [](auto const &rule) { return rule.server.value(); });
        checkDuplicatesIn(rules_.jobDefaults, "job-defaults", [](auto const &rule) { return rule.customer.value(); });
        checkDuplicatesIn(rules_.orders, "order", [](auto const &rule) { return orderKey(rule); });
    }

    void checkPool(PoolName const &pool, RuleOrigin const &origin)
    {
        if (!poolKinds_.contains(pool))
            addUnknown(origin, "pool " + pool.value() + " is unknown", "add {pool: " + pool.value() + ", kind: ...} or correct the name");
    }

    void checkRoutes()
    {
        for (auto const &rule : rules_.routes) {
            checkPool(rule.pool, rule.origin);
            auto const kind = poolKinds_.find(rule.pool);
            if (kind == poolKinds_.end())
                continue;
            if (kind->second == PoolKind::ModelEngine && rule.model.value().empty())
                addFault(rule.origin, "a route to model engines has no model", "add model: NAME");
            if (kind->second == PoolKind::PlainService && !(rule.model.value().empty() && rule.version.value().empty()))
                addFault(rule.origin, "a route to a plain service must not have a model or version", "remove model and version");
        }
    }

    /// Requests of one service are distributed by weight, so not all of its weights may be 0, and its pools must be of one
    /// kind.
    void checkServices()
    {
        std::map<ServiceName, std::vector<RouteRule const *>> byService;
        for (auto const &rule : rules_.routes)
            byService[rule.service].push_back(&rule);
        for (auto const &[service, routes] : byService) {
            auto const hasWeight = std::any_of(routes.begin(), routes.end(), [](auto const *rule) { return rule->weight > 0; });
            if (!hasWeight)
                addUnknown(routes.back()->origin,
                           "service " + service.value() + " has no route with a weight above 0",
                           "set the weight of one of its lines above 0");
            if (kindsOf(routes).size() > 1)
                addFault(routes.back()->origin,
                         "service " + service.value() + " has routes to pools of different kinds",
                         "route it to pools of one kind");
        }
    }

    [[nodiscard]] std::set<PoolKind> kindsOf(std::vector<RouteRule const *> const &routes) const
    {
        std::set<PoolKind> kinds;
        for (auto const *route : routes) {
            if (auto const kind = poolKinds_.find(route->pool); kind != poolKinds_.end())
                kinds.insert(kind->second);
        }
        return kinds;
    }

    void checkCustomer(CustomerId const &customer, RuleOrigin const &origin)
    {
        if (customer.value() != EachCustomer && !customers_.contains(customer))
            addUnknown(origin, "customer " + customer.value() + " is unknown", "add its customer line or use \"*\" for each customer");
    }

    void checkCustomers()
    {
        for (auto const &rule : rules_.limits) {
            checkCustomer(rule.customer, rule.origin);
            if (!services_.contains(rule.service))
                addUnknown(rule.origin, "service " + rule.service.value() + " is unknown", "add a service line or correct the name");
        }
        for (auto const &rule : rules_.jobDefaults)
            checkCustomer(rule.customer, rule.origin);
    }

    void checkBatches()
    {
        for (auto const &rule : rules_.batches)
            checkPool(rule.pool, rule.origin);
    }

    void checkOrders()
    {
        std::map<ServerId, RuleOrigin> leaving;
        for (auto const &rule : rules_.leaving)
            leaving.try_emplace(rule.server, rule.origin);
        for (auto const &rule : rules_.orders) {
            if (rule.kind == OrderKind::ChangeRole && !engineRoles().contains(rule.role))
                addFault(rule.origin, "role " + rule.role + " is unknown", "use both, prefill or decode");
            if (auto const other = leaving.find(rule.server); other != leaving.end())
                addFault(rule.origin,
                         "server " + rule.server.value() + " is declared as leaving in line " + std::to_string(other->second.line)
                             + ", asked by " + other->second.requester,
                         "remove one of the two lines");
        }
    }

    RuleSet const &rules_;
    ParsedLines parsedLines_;
    std::map<PoolName, PoolKind> poolKinds_;
    std::set<CustomerId> customers_;
    std::set<ServiceName> services_;
    std::vector<RuleFault> faults_;
};

} // namespace

std::vector<RuleFault> checkRules(RuleSet const &rules, ParsedLines parsedLines)
{
    return RuleChecker(rules, parsedLines).check();
}

} // namespace Anvilyard::Rules
