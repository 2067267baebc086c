#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Anvilyard {

/// Returns the rendezvous (highest random weight) score of a node for a key. All instances compute the same score.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// Returns the node with the highest score for the key, or the end of the range if it is empty. `nameOf` returns a node's name.
template<typename Range, typename NameOf>
auto rendezvousOwner(std::string_view key, Range const &nodes, NameOf nameOf)
{
    return std::max_element(nodes.begin(), nodes.end(), [&](auto const &left, auto const &right) {
        return rendezvousScore(key, nameOf(left)) < rendezvousScore(key, nameOf(right));
    });
}

} // namespace Anvilyard
