#include "LibYield/OnlineReporter.h"

#include <algorithm>

namespace Anvilyard::Yield {

OnlineReporter::OnlineReporter(OnlineReporterOptions options)
    : options_(options)
{
}

void OnlineReporter::onStarted(ServerId const &server, Instant now)
{
    auto &engine = engines_[server];
    bool const wasIdle = engine.tally.started == engine.tally.finished;
    engine.tally.server = server;
    ++engine.tally.started;
    // The first request on an idle engine may start a burst, which has to be reported to the gate before the engine is overloaded.
    makeDue(engine, wasIdle ? now : now + options_.startCoalescingTime);
}

void OnlineReporter::onFinished(ServerId const &server, Instant now)
{
    auto const found = engines_.find(server);
    if (found == engines_.end() || found->second.tally.finished == found->second.tally.started)
        return;
    ++found->second.tally.finished;
    makeDue(found->second, now + options_.endCoalescingTime);
}

std::vector<OnlineTally> OnlineReporter::takeDue(Instant now)
{
    std::vector<OnlineTally> due;
    for (auto &[server, engine] : engines_) {
        if (!engine.due || *engine.due > now)
            continue;
        due.push_back(engine.tally);
        engine.due = dueAfterReport(engine, now);
    }
    return due;
}

std::optional<Instant> OnlineReporter::nextDue() const
{
    std::optional<Instant> next;
    for (auto const &[server, engine] : engines_) {
        if (engine.due)
            next = next ? std::min(*next, *engine.due) : engine.due;
    }
    return next;
}

void OnlineReporter::makeDue(Engine &engine, Instant due)
{
    engine.idleRepeatsLeft = options_.idleRepeats;
    engine.due = engine.due ? std::min(*engine.due, due) : due;
}

std::optional<Instant> OnlineReporter::dueAfterReport(Engine &engine, Instant now) const
{
    if (engine.tally.started > engine.tally.finished)
        return now + options_.refresh;
    if (engine.idleRepeatsLeft == 0)
        return std::nullopt;
    --engine.idleRepeatsLeft;
    return now + options_.refresh;
}

} // namespace Anvilyard::Yield
