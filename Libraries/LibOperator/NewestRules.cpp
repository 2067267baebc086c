#include "LibOperator/NewestRules.h"

namespace Anvilyard::Operator {

using OptionalRules = std::optional<Rules::AcceptedRules>;

Result<OptionalRules> findNewest(RuleSetStore &store, std::optional<Generation> knownGeneration)
{
    if (!knownGeneration) {
        auto const oldest = store.oldest();
        if (!oldest)
            return tl::unexpected(oldest.error());
        knownGeneration = *oldest;
    }
    if (!knownGeneration)
        return OptionalRules();
    auto newest = store.get(*knownGeneration);
    if (!newest || !*newest)
        return newest;
    // Doubles the step while the generations exist, then halves it. `missing` is the lowest generation found not to exist.
    std::uint64_t step = 1;
    std::optional<std::uint64_t> missing;
    while (step > 0) {
        auto const low = (*newest)->generation.value();
        if (missing && low + step >= *missing) {
            step /= 2;
            continue;
        }
        auto probe = store.get(Generation(low + step));
        if (!probe)
            return probe;
        if (*probe)
            newest = std::move(probe);
        else
            missing = low + step;
        step = missing ? (*missing - (*newest)->generation.value()) / 2 : step * 2;
    }
    return newest;
}

} // namespace Anvilyard::Operator
