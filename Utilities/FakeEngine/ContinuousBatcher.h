#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::FakeEngine {

/// Durations of the simulated work, and the number of slots.
struct EngineTiming {
    /// Time between a request's arrival and the first step that it can join.
    Duration firstTokenBase = 20ms;
    /// Duration of a step without streams. Each stream adds `perStream`.
    Duration tokenBase = 20ms;
    Duration perStream = 200us;
    /// Added for each uncached prompt token to the step that its request joins. This delays all streams.
    Duration prefillPerToken = 50us;
    /// Maximum number of running streams. Others wait in order of arrival.
    std::uint32_t slots = 32;
};

struct StreamSpec {
    std::uint64_t key = 0;
    std::uint32_t uncachedPromptTokens = 0;
    /// Index of the first token to produce. Greater than 0 for a resumed stream.
    std::uint32_t firstToken = 0;
    std::uint32_t tokens = 0;
};

struct ProducedToken {
    std::uint64_t key = 0;
    std::uint32_t index = 0;
    enum class Position { Middle, Last } position = Position::Middle;
};

/// Simulates continuous batching without priorities: each step produces one token for every running stream. Performs no I/O and
/// reads no clock.
class ContinuousBatcher
{
public:
    explicit ContinuousBatcher(EngineTiming timing);

    void admit(StreamSpec const &stream, Instant now);
    void cancel(std::uint64_t key);
    /// Returns the tokens of the steps that have ended by `now`.
    std::vector<ProducedToken> advance(Instant now);
    /// Returns the time of the next call to advance() that changes state, or `std::nullopt` if there is no work.
    [[nodiscard]] std::optional<Instant> nextEvent() const;
    /// Sets the factor by which all later durations are multiplied.
    void setSlowness(double factor);
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    struct WaitingStream {
        StreamSpec stream;
        Instant readyAt;
    };

    void beginStep(Instant now);
    void admitReadyStreams(Instant now);
    void produce(std::vector<ProducedToken> &produced);
    [[nodiscard]] Duration scaleDuration(Duration duration) const;

    EngineTiming timing_;
    double slowness_ = 1;
    std::deque<WaitingStream> waiting_;
    std::map<std::uint64_t, StreamSpec> running_;
    std::uint64_t joinedPromptTokens_ = 0;
    std::optional<Instant> stepEnds_;
};

} // namespace Anvilyard::FakeEngine
