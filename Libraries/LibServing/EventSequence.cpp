#include "LibServing/EventSequence.h"

namespace Anvilyard::Serving {

EventSequence::EventSequence(std::optional<std::uint64_t> lastId)
    : lastId_(lastId)
{
}

EventSequence::Order EventSequence::advance(std::optional<std::uint64_t> id)
{
    if (lastId_) {
        if (!id)
            return Order::Unplaced;
        if (*id <= *lastId_)
            return Order::Repeated;
        if (*id != *lastId_ + 1)
            return Order::Gap;
    }
    if (id)
        lastId_ = id;
    ++count_;
    return Order::Next;
}

std::optional<std::uint64_t> EventSequence::lastId() const
{
    return lastId_;
}

std::uint64_t EventSequence::count() const
{
    return count_;
}

} // namespace Anvilyard::Serving
