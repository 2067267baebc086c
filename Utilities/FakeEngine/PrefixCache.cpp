#include "Utilities/FakeEngine/PrefixCache.h"

#include <algorithm>
#include <xxhash.h>

namespace Anvilyard::FakeEngine {

PrefixCache::PrefixCache(std::size_t blocks)
    : limit_(blocks)
{
}

std::vector<std::uint64_t> PrefixCache::blockHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    // Only full blocks are cached, as in real engines.
    for (std::size_t start = 0; start + BlockBytes <= prompt.size(); start += BlockBytes) {
        previous = XXH64(prompt.data() + start, BlockBytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

std::size_t PrefixCache::cachedBlocks(std::vector<std::uint64_t> const &hashes) const
{
    auto const missing = std::find_if(hashes.begin(), hashes.end(), [this](auto hash) { return !positions_.contains(hash); });
    return static_cast<std::size_t>(missing - hashes.begin());
}

CacheChange PrefixCache::insert(std::vector<std::uint64_t> const &hashes)
{
    CacheChange change;
    // Reverse order makes a prefix's first block the most recently used, so it is evicted last.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        if (auto const found = positions_.find(*hash); found != positions_.end()) {
            newestFirst_.splice(newestFirst_.begin(), newestFirst_, found->second);
            continue;
        }
        newestFirst_.push_front(*hash);
        positions_.emplace(*hash, newestFirst_.begin());
        change.stored.push_back(*hash);
    }
    std::reverse(change.stored.begin(), change.stored.end());
    while (newestFirst_.size() > limit_) {
        change.removed.push_back(newestFirst_.back());
        positions_.erase(newestFirst_.back());
        newestFirst_.pop_back();
    }
    return change;
}

double PrefixCache::usage() const
{
    return limit_ == 0 ? 0.0 : static_cast<double>(newestFirst_.size()) / static_cast<double>(limit_);
}

} // namespace Anvilyard::FakeEngine
