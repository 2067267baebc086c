#include "LibFleet/NewestRulesSearch.h"

namespace Anvilyard::Fleet {

NewestRulesSearch::NewestRulesSearch(Generation known)
    : newestFound_(known.value())
{
}

std::optional<Generation> NewestRulesSearch::next() const
{
    if (lowestMissing_ == 0)
        return Generation(newestFound_ + step_);
    if (lowestMissing_ - newestFound_ <= 1)
        return std::nullopt;
    return Generation(newestFound_ + (lowestMissing_ - newestFound_) / 2);
}

void NewestRulesSearch::onFound()
{
    newestFound_ = next()->value();
    if (lowestMissing_ == 0)
        step_ *= 2;
}

void NewestRulesSearch::onMissing()
{
    lowestMissing_ = next()->value();
}

Generation NewestRulesSearch::newest() const
{
    return Generation(newestFound_);
}

} // namespace Anvilyard::Fleet
