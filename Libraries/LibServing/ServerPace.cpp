#include "LibServing/ServerPace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Anvilyard::Serving {

namespace {

/// Time after which a third of a slowdown's effect on the estimate remains. Slowdowns take about 600 ms.
constexpr Duration StatementLifetime = 500ms;
/// A statement older than this tells no more than the server's mean.
constexpr Duration MaxStatementAge = 4 * StatementLifetime;
/// Weight of one statement in the server's mean. Some 15% of all statements are from slowdowns, so that the mean needs several.
constexpr double StatementWeight = 0.1;
constexpr double ObservationWeight = 0.1;
/// Bounds of the estimate, so that a wrong statement neither attracts nor excludes all work.
constexpr double MinSlowness = 0.2;
constexpr double MaxSlowness = 10;

} // namespace

void EventTimer::onEvents(std::size_t events, Instant now)
{
    if (events_ == 0) {
        firstEvents_ = events;
        firstAt_ = now;
    }
    events_ = events;
    lastAt_ = now;
}

EventTiming EventTimer::timing() const
{
    return {.events = events_ - firstEvents_, .time = lastAt_ - firstAt_};
}

void ServerPace::onStated(double slowness, double poolMean, Instant now)
{
    lastStated_ = std::clamp(slowness, MinSlowness, MaxSlowness);
    if (!statedAt_)
        meanStated_ = poolMean;
    meanStated_ += (lastStated_ - meanStated_) * StatementWeight;
    statedAt_ = now;
}

void ServerPace::onEventTime(double relativeTime, Duration span, Instant now)
{
    auto const expected = statedOver(span, now);
    auto const ratio = std::clamp(relativeTime / expected, MinSlowness, MaxSlowness);
    // The first observations count more, as nothing else is known yet.
    auto const weight = std::max(ObservationWeight, 1.0 / static_cast<double>(observations_ + 2));
    observedRatio_ += (ratio - observedRatio_) * weight;
    ++observations_;
}

bool ServerPace::isStated() const
{
    return statedAt_.has_value();
}

double ServerPace::statedOver(Duration span, Instant now) const
{
    if (!statedAt_)
        return 1;
    using Seconds = std::chrono::duration<double>;
    auto const lifetime = Seconds(StatementLifetime).count();
    // The statement was made within the span or before it.
    auto const begin = Seconds(std::max(Duration(0), now - span - *statedAt_)).count();
    auto const end = Seconds(std::max(Duration(0), now - *statedAt_)).count();
    auto const effect =
        end > begin ? lifetime / (end - begin) * (std::exp(-begin / lifetime) - std::exp(-end / lifetime)) : std::exp(-end / lifetime);
    return meanStated_ + (lastStated_ - meanStated_) * effect;
}

double ServerPace::slowness(Instant now) const
{
    if (!statedAt_ || now - *statedAt_ > MaxStatementAge)
        return meanStated_ * observedRatio_;
    return statedOver(Duration(0), now) * observedRatio_;
}

} // namespace Anvilyard::Serving
