#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace Anvilyard::Serving {

/// Time from the first events of a response to the last ones.
struct EventTiming {
    /// Events that arrived after the first ones.
    std::size_t events = 0;
    Duration time{0};
};

/// Measures the EventTiming of a response.
class EventTimer
{
public:
    /// Records that the response has brought `events` in all.
    void onEvents(std::size_t events, Instant now);
    [[nodiscard]] EventTiming timing() const;

private:
    std::size_t firstEvents_ = 0;
    std::size_t events_ = 0;
    Instant firstAt_;
    Instant lastAt_;
};

/// Estimates how long work takes at one server, as a multiple of the usual time. Designed for pools in which some servers are always slower
/// and any server may become slow for about half a second while a single instance gets a response of each server only every few seconds. A
/// statement therefore counts fully at its time and tends towards the server's mean as it ages, so that no server is avoided for good.
/// Performs no I/O.
class ServerPace
{
public:
    /// Records the slowness that a response stated. `poolMean` is the mean of the server's pool.
    void onStated(double slowness, double poolMean, Instant now);
    /// Records the time from one event to the next, as a multiple of what is usual in the pool. Unlike the run time of a request it does
    /// not depend on the length of the response. It shows differences between servers that they do not state.
    void onEventTime(double relativeTime, Duration span, Instant now);

    [[nodiscard]] bool isStated() const;
    /// Slowness that the statements alone suggest for the time span that ends now, as the mean.
    [[nodiscard]] double statedOver(Duration span, Instant now) const;
    /// Expected slowness now.
    [[nodiscard]] double slowness(Instant now) const;

private:
    double lastStated_ = 1;
    double meanStated_ = 1;
    std::optional<Instant> statedAt_;
    /// Observed time relative to the stated one.
    double observedRatio_ = 1;
    std::size_t observations_ = 0;
};

} // namespace Anvilyard::Serving
