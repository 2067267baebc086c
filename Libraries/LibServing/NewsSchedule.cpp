#include "LibServing/NewsSchedule.h"

#include <algorithm>

namespace Anvilyard::Serving {

NewsSchedule::NewsSchedule(NewsScheduleOptions options)
    : options_(options)
{
}

void NewsSchedule::scheduleNow()
{
    sentAt_.reset();
}

bool NewsSchedule::isChanged(std::uint64_t version) const
{
    return version != sentVersion_ || !sentAt_;
}

bool NewsSchedule::isDue(std::uint64_t version, Instant now) const
{
    bool const isUrgent = isChanged(version) || dueMessages_ > 0;
    return !sentAt_ || now >= *sentAt_ + (isUrgent ? options_.minInterval : options_.interval);
}

std::size_t NewsSchedule::take(std::uint64_t version, std::size_t messages, Instant now)
{
    // A change during a pass is sent with the next one, so that the last messages get their turn under steady changes.
    if (isChanged(version) && dueMessages_ == 0) {
        sentVersion_ = version;
        next_ = 0;
        dueMessages_ = messages;
    }
    sentAt_ = now;
    dueMessages_ -= std::min<std::size_t>(dueMessages_, 1);
    return next_++ % messages;
}

} // namespace Anvilyard::Serving
