#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Anvilyard::Fleet {

/// Queue of updates to be attached to messages. Each item is sent a bounded number of times and those sent least often come
/// first, so the size of a message is bounded regardless of the size of the fleet.
template<typename Key>
class UpdateQueue
{
public:
    /// Adds an item; one that is queued already starts over.
    void add(Key const &key)
    {
        remove(key);
        put(key, 0);
    }

    void remove(Key const &key)
    {
        auto const found = sendCounts_.find(key);
        if (found == sendCounts_.end())
            return;
        bySendCount_.erase({found->second, key});
        sendCounts_.erase(found);
    }

    void clear()
    {
        sendCounts_.clear();
        bySendCount_.clear();
    }

    [[nodiscard]] bool empty() const
    {
        return sendCounts_.empty();
    }

    /// Returns up to `maxCount` items. An item that has been sent `sendLimit` times is removed from the queue.
    std::vector<Key> take(std::size_t maxCount, std::size_t sendLimit)
    {
        std::vector<std::pair<std::size_t, Key>> taken;
        for (auto item = bySendCount_.begin(); item != bySendCount_.end() && taken.size() < maxCount; ++item)
            taken.push_back(*item);
        std::vector<Key> keys;
        for (auto const &[sendCount, key] : taken) {
            remove(key);
            if (sendCount + 1 < sendLimit)
                put(key, sendCount + 1);
            keys.push_back(key);
        }
        return keys;
    }

private:
    void put(Key const &key, std::size_t sendCount)
    {
        sendCounts_.emplace(key, sendCount);
        bySendCount_.emplace(sendCount, key);
    }

    std::map<Key, std::size_t> sendCounts_;
    std::set<std::pair<std::size_t, Key>> bySendCount_;
};

} // namespace Anvilyard::Fleet
