#include "LibRouting/RetryBudget.h"

#include <algorithm>

namespace Anvilyard::Routing {

RetryBudget::RetryBudget(RetryBudgetOptions options, Instant now)
    : options_(options)
    , saved_(options.maxSaved)
    , refilledAt_(now)
{
}

void RetryBudget::onFirstSend()
{
    saved_ = std::min(options_.maxSaved, saved_ + options_.perRequest);
}

bool RetryBudget::tryTake(Instant now)
{
    auto const elapsed = std::chrono::duration<double>(std::max(Duration(0), now - refilledAt_));
    refilledAt_ = std::max(refilledAt_, now);
    saved_ = std::min(options_.maxSaved, saved_ + elapsed.count() * options_.perSecond);
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

} // namespace Anvilyard::Routing
