#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <functional>
#include <malloc.h>
#include <memory>
#include <string_view>

namespace Anvilyard::Benchmarks {

/// Bytes allocated and not freed, including large blocks that malloc maps separately.
inline std::size_t allocatedBytes()
{
    auto const info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Returns the bytes that stay allocated for the result of `make`.
template<typename Make>
double retainedBytes(Make make)
{
    auto const before = allocatedBytes();
    auto const retained = make();
    auto const after = allocatedBytes();
    return after > before ? static_cast<double>(after - before) : 0;
}

/// Returns the bytes per additional unit between two sizes. Constant memory cancels out.
template<typename Make>
double bytesPerUnit(std::size_t small, std::size_t large, Make make)
{
    auto const smallBytes = retainedBytes([&] { return make(small); });
    auto const largeBytes = retainedBytes([&] { return make(large); });
    return (largeBytes - smallBytes) / static_cast<double>(large - small);
}

/// Returns the mean duration of a call in nanoseconds.
template<typename Call>
double nanosecondsPerCall(std::size_t calls, Call call)
{
    auto const begin = readLocalClock();
    for (std::size_t count = 0; count < calls; ++count)
        call(count);
    auto const elapsed = readLocalClock() - begin;
    return static_cast<double>(std::chrono::nanoseconds(elapsed).count()) / static_cast<double>(calls);
}

/// Prints a figure as a JSON line.
void printFigure(std::string_view metric, double value, std::string_view unit);

} // namespace Anvilyard::Benchmarks
