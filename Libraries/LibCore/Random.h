#pragma once

#include <cstdint>
#include <random>

namespace Anvilyard {

/// The random source of decisions. It is injected so that a run can be repeated with the same seed.
using RandomSource = std::mt19937_64;

/// Returns a source seeded by the system, for programs. Tests use fixed seeds.
RandomSource seedFromSystem();

} // namespace Anvilyard
