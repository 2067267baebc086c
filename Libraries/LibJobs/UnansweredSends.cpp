#include "LibJobs/UnansweredSends.h"

namespace Anvilyard::Jobs {

std::uint32_t UnansweredSends::count() const
{
    return own_ + others_;
}

bool UnansweredSends::hasOthers() const
{
    return others_ > 0;
}

Instant UnansweredSends::lastAt() const
{
    return lastAt_;
}

bool UnansweredSends::mayHaveFailedUnseen() const
{
    return !hasResponded_ && count() > 0;
}

bool UnansweredSends::hasResponded() const
{
    return hasResponded_;
}

void UnansweredSends::onUnanswered(Instant now)
{
    ++own_;
    lastAt_ = now;
}

void UnansweredSends::onResponded()
{
    hasResponded_ = true;
}

void UnansweredSends::onServerCrashed()
{
    if (own_ > 0)
        --own_;
}

std::optional<std::uint32_t> UnansweredSends::toRecord(SendState state) const
{
    if (hasResponded_)
        return count() > 0 || recorded_.value_or(0) > 0 ? std::optional(0U) : std::nullopt;
    auto const sends = own_ + (state == SendState::Sending && mayHaveFailedUnseen() ? 1 : 0);
    return sends > 0 ? std::optional(sends) : std::nullopt;
}

bool UnansweredSends::isRecorded(SendState state) const
{
    auto const due = toRecord(state);
    return hasResponded_ ? !due || isResponseRecorded_ : recorded_ == due;
}

void UnansweredSends::onRecorded(std::optional<std::uint32_t> count)
{
    recorded_ = count;
    isResponseRecorded_ = isResponseRecorded_ || count == 0U;
}

void UnansweredSends::setOthers(std::optional<std::uint32_t> count)
{
    others_ = count.value_or(0);
    if (count != 0U)
        return;
    hasResponded_ = true;
    isResponseRecorded_ = true;
}

} // namespace Anvilyard::Jobs
