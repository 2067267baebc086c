#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Anvilyard::FakeEngine {

/// Blocks added to and evicted from the cache, for the cache events.
struct CacheChange {
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

/// LRU cache of prompt prefixes. A block is 256 bytes of the prompt's text (about 64 tokens). Its hash is
/// XXH64(block, seed = the previous block's hash, initially 0) and thus identifies the prefix up to the end of the block.
class PrefixCache
{
public:
    static constexpr std::size_t BlockBytes = 256;

    explicit PrefixCache(std::size_t blocks);

    static std::vector<std::uint64_t> blockHashes(std::string_view prompt);
    /// Returns the number of leading blocks in the cache.
    [[nodiscard]] std::size_t cachedBlocks(std::vector<std::uint64_t> const &hashes) const;
    /// Adds a prompt's blocks and evicts the least recently used blocks beyond the limit.
    CacheChange insert(std::vector<std::uint64_t> const &hashes);
    [[nodiscard]] double usage() const;

private:
    std::size_t limit_;
    std::list<std::uint64_t> newestFirst_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace Anvilyard::FakeEngine
