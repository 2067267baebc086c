#include "Utilities/FakeEngine/EngineOrders.h"

#include <algorithm>

namespace Anvilyard::FakeEngine {

EngineOrders::EngineOrders(FencingCheck check, std::map<std::string, Model> models)
    : check_(check)
    , servesAnyModel_(models.empty())
    , models_(std::move(models))
{
}

OrderOutcome EngineOrders::load(Order const &order)
{
    if (isFenced(order))
        return OrderOutcome::Fenced;
    if (order.model.empty())
        return OrderOutcome::NotFound;
    auto &model = models_[order.model];
    if (!order.version.empty())
        model.versions.insert(order.version);
    if (!order.adapter.empty())
        model.adapters.insert(order.adapter);
    return OrderOutcome::Done;
}

OrderOutcome EngineOrders::unload(Order const &order)
{
    if (isFenced(order))
        return OrderOutcome::Fenced;
    auto const found = models_.find(order.model);
    if (found == models_.end())
        return OrderOutcome::NotFound;
    if (!order.adapter.empty())
        return found->second.adapters.erase(order.adapter) > 0 ? OrderOutcome::Done : OrderOutcome::NotFound;
    if (!order.version.empty() && found->second.versions.erase(order.version) == 0)
        return OrderOutcome::NotFound;
    if (order.version.empty() || found->second.versions.empty())
        models_.erase(found);
    return OrderOutcome::Done;
}

OrderOutcome EngineOrders::changeRole(Order const &order)
{
    if (isFenced(order))
        return OrderOutcome::Fenced;
    if (order.role.empty())
        return OrderOutcome::NotFound;
    role_ = order.role;
    return OrderOutcome::Done;
}

bool EngineOrders::serves(std::string const &requested) const
{
    if (servesAnyModel_)
        return true;
    auto const at = requested.find('@');
    if (auto const found = models_.find(requested.substr(0, at)); found != models_.end())
        return at == std::string::npos || found->second.versions.contains(requested.substr(at + 1));
    return std::any_of(models_.begin(), models_.end(), [&](auto const &entry) { return entry.second.adapters.contains(requested); });
}

std::map<std::string, EngineOrders::Model> const &EngineOrders::models() const
{
    return models_;
}

std::string const &EngineOrders::role() const
{
    return role_;
}

std::uint64_t EngineOrders::highestFencingNumber() const
{
    return highestFencingNumber_;
}

bool EngineOrders::isFenced(Order const &order)
{
    auto const number = order.fencingNumber.value_or(0);
    if (check_ == FencingCheck::Checked && number < highestFencingNumber_)
        return true;
    highestFencingNumber_ = std::max(highestFencingNumber_, number);
    return false;
}

} // namespace Anvilyard::FakeEngine
