#include "Services/Node/UnansweredItems.h"

namespace Anvilyard::Node {

namespace {

/// Registrations of crashed servers are removed within this time.
constexpr Duration CrashNoticeTime = 15s;
/// Bounds the memory for servers that responded to a check.
constexpr Duration ResponseRetention = 60s;

} // namespace

UnansweredItems::UnansweredItems(NodeContext &context, HealthProber &health)
    : context_(context)
    , health_(health)
{
}

void UnansweredItems::add(Send send)
{
    sends_.push_back(std::move(send));
}

std::vector<UnansweredItems::Send> UnansweredItems::takeCrashed(Instant now)
{
    std::vector<Send> crashed;
    std::erase_if(sends_, [&](Send &send) {
        if (now - send.endedAt >= CrashNoticeTime)
            return true;
        auto const known = context_.directory.find(send.server.id, now);
        bool const hasEnded = !known || known->record.startedAt != send.server.startedAt
            || context_.prompts.hasEnded({.id = send.server.id, .startedAt = send.server.startedAt});
        if (hasEnded)
            crashed.push_back(std::move(send));
        return hasEnded;
    });
    return crashed;
}

bool UnansweredItems::isPathKnown(Serving::ServerRecord const &server, Instant unansweredAt)
{
    auto const now = readLocalClock();
    if (auto const found = respondedAt_.find(server.id); found != respondedAt_.end() && found->second >= unansweredAt)
        return true;
    std::erase_if(respondedAt_, [&](auto const &entry) { return now - entry.second >= ResponseRetention; });
    health_.checkResponds(server, [this, id = server.id, now] { respondedAt_[id] = now; });
    return false;
}

} // namespace Anvilyard::Node
