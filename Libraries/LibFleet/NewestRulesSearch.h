#pragma once

#include "LibCore/Ids.h"

#include <optional>

namespace Anvilyard::Fleet {

/// Finds the newest of a gapless sequence of generations, starting from one that exists, in a number of reads logarithmic in
/// the length of the sequence. Performs no I/O: the owner reads the generation given by next() and reports the result.
class NewestRulesSearch
{
public:
    /// Generation `known` must exist.
    explicit NewestRulesSearch(Generation known);

    /// Returns the generation to read, or `std::nullopt` if the newest one has been found.
    [[nodiscard]] std::optional<Generation> next() const;
    void onFound();
    void onMissing();
    [[nodiscard]] Generation newest() const;

private:
    std::uint64_t newestFound_;
    /// The lowest generation found missing; 0 if there is none yet.
    std::uint64_t lowestMissing_ = 0;
    std::uint64_t step_ = 1;
};

} // namespace Anvilyard::Fleet
