#include "LibCore/Rendezvous.h"

#include <xxhash.h>

namespace Anvilyard {

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    auto const seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

} // namespace Anvilyard
