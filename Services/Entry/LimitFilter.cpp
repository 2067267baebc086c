#include "Services/Entry/LimitFilter.h"

#include "Services/Entry/Refusals.h"

#include <algorithm>

namespace Anvilyard::Entry {

namespace {

constexpr std::chrono::milliseconds MinRetryAfter = 1s;
constexpr std::chrono::milliseconds MaxRetryAfter = 30s;

std::size_t aliveInstances(Fleet::FleetView const &fleet)
{
    return static_cast<std::size_t>(std::count_if(fleet.instances.begin(), fleet.instances.end(), [](auto const &instance) {
        return instance.state == Fleet::InstanceState::Alive;
    }));
}

} // namespace

LimitFilter::LimitFilter(ThreadContext &context, LimitTable &table)
    : context_(context)
    , table_(table)
{
}

void LimitFilter::handle(OnlineRequestPointer request, Next const &next)
{
    LimitKey const key{request->customer, request->service};
    auto const limit = findLimit(*request->view->fleet().rules, key);
    if (!limit)
        return next(std::move(request));
    auto const wait = table_.admit(key, *limit, aliveInstances(request->view->fleet()), request->arrivedAt);
    if (wait > Duration(0)) {
        auto const minDelay = std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait), MinRetryAfter, MaxRetryAfter);
        return request->refuse(Refusals::rateLimited(Refusals::jitteredDelay(minDelay, context_.random)));
    }
    if (limit->tokensPerSecond) {
        request->endCallbacks.emplace_back(
            [&table = table_, key, raw = request.get()] { table.chargeTokens(key, raw->tokens, readLocalClock()); });
    }
    next(std::move(request));
}

} // namespace Anvilyard::Entry
