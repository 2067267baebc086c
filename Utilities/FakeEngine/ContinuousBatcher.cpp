#include "Utilities/FakeEngine/ContinuousBatcher.h"

#include <algorithm>

namespace Anvilyard::FakeEngine {

ContinuousBatcher::ContinuousBatcher(EngineTiming timing)
    : timing_(timing)
{
}

void ContinuousBatcher::admit(StreamSpec const &stream, Instant now)
{
    waiting_.push_back({.stream = stream, .readyAt = now + scaleDuration(timing_.firstTokenBase)});
}

void ContinuousBatcher::cancel(std::uint64_t key)
{
    running_.erase(key);
    std::erase_if(waiting_, [key](WaitingStream const &entry) { return entry.stream.key == key; });
}

std::vector<ProducedToken> ContinuousBatcher::advance(Instant now)
{
    std::vector<ProducedToken> produced;
    while (auto const next = nextEvent()) {
        if (*next > now)
            break;
        if (stepEnds_)
            produce(produced);
        beginStep(*next);
    }
    return produced;
}

std::optional<Instant> ContinuousBatcher::nextEvent() const
{
    if (stepEnds_)
        return stepEnds_;
    if (waiting_.empty())
        return std::nullopt;
    return waiting_.front().readyAt;
}

void ContinuousBatcher::setSlowness(double factor)
{
    slowness_ = factor;
}

std::size_t ContinuousBatcher::running() const
{
    return running_.size();
}

std::size_t ContinuousBatcher::waiting() const
{
    return waiting_.size();
}

void ContinuousBatcher::beginStep(Instant now)
{
    admitReadyStreams(now);
    if (running_.empty()) {
        stepEnds_.reset();
        return;
    }
    auto const streams = static_cast<Duration::rep>(running_.size());
    auto const prompt = static_cast<Duration::rep>(joinedPromptTokens_);
    joinedPromptTokens_ = 0;
    // A step has a minimum duration because advance() would not terminate if all durations were 0.
    auto const length = timing_.tokenBase + timing_.perStream * streams + timing_.prefillPerToken * prompt;
    stepEnds_ = now + std::max(scaleDuration(length), Duration(1));
}

void ContinuousBatcher::admitReadyStreams(Instant now)
{
    while (!waiting_.empty() && running_.size() < timing_.slots && waiting_.front().readyAt <= now) {
        auto const &stream = waiting_.front().stream;
        joinedPromptTokens_ += stream.uncachedPromptTokens;
        running_.emplace(stream.key, stream);
        waiting_.pop_front();
    }
}

void ContinuousBatcher::produce(std::vector<ProducedToken> &produced)
{
    for (auto stream = running_.begin(); stream != running_.end();) {
        auto &[key, spec] = *stream;
        auto const index = spec.firstToken++;
        bool const isLast = spec.firstToken >= spec.tokens;
        produced.push_back(
            {.key = key, .index = index, .position = isLast ? ProducedToken::Position::Last : ProducedToken::Position::Middle});
        stream = isLast ? running_.erase(stream) : std::next(stream);
    }
}

Duration ContinuousBatcher::scaleDuration(Duration duration) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * slowness_));
}

} // namespace Anvilyard::FakeEngine
