#include "LibRouting/PromptPrefix.h"

#include <xxhash.h>

namespace Anvilyard::Routing {

PromptPrefix::PromptPrefix(std::string_view prompt)
{
    std::size_t nextLength = 1;
    std::size_t step = 1;
    std::uint64_t hash = 0;
    for (std::size_t block = 1; block <= MaxBlocks && block * BlockBytes <= prompt.size(); ++block) {
        hash = XXH64(prompt.data() + (block - 1) * BlockBytes, BlockBytes, hash);
        if (block <= GroupBlocks)
            groupHash_ = hash;
        if (block != nextLength)
            continue;
        hashes_.push_back(hash);
        // Prefix lengths in blocks: 1, 2, 3, 4, 6, 8, 12, 16, 24, ...
        if (block >= 4 && (block & (block - 1)) == 0)
            step = block / 2;
        nextLength += step;
    }
}

PromptPrefix PromptPrefix::ofHashes(std::vector<std::uint64_t> hashes)
{
    PromptPrefix prefix;
    prefix.groupHash_ = hashes.empty() ? 0 : hashes.front();
    prefix.hashes_ = std::move(hashes);
    return prefix;
}

std::vector<std::uint64_t> const &PromptPrefix::hashes() const
{
    return hashes_;
}

std::uint64_t PromptPrefix::groupHash() const
{
    return groupHash_;
}

} // namespace Anvilyard::Routing
