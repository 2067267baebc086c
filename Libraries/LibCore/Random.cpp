#include "LibCore/Random.h"

namespace Anvilyard {

RandomSource seedFromSystem()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return RandomSource(seed);
}

} // namespace Anvilyard
