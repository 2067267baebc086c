#include "Services/Node/UnansweredItems.h"

namespace Anvilyard::Node {

namespace {

/// Registrations of crashed servers are removed within this time.
constexpr Duration CrashNoticeTime = 15s;

} // namespace

UnansweredItems::UnansweredItems(NodeContext &context, HealthProber &health, Jobs::ItemPlacement const &placement)
    : context_(context)
    , health_(health)
    , placement_(placement)
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

void UnansweredItems::onAnswered(ServerId const &server, Instant sentAt)
{
    careful_.onAnswered(server, sentAt, readLocalClock());
}

void UnansweredItems::onBroken(ServerId const &server)
{
    careful_.onFailed(server, readLocalClock());
}

void UnansweredItems::onSentAgain(Serving::ServerRecord const &server, Instant now)
{
    careful_.onSent(server.pool, server.id, now);
}

std::optional<Serving::ServerRecord>
UnansweredItems::chooseServer(PoolName const &pool, std::span<Jobs::PoolServer const> servers, Instant unansweredAt, Instant now)
{
    std::vector<Jobs::CarefulPlacement::Server> accepting;
    for (auto const &server : servers) {
        if (server.acceptsNew && (server.isAssigned || !server.isFar))
            accepting.push_back({.id = server.id, .hasRoom = placement_.hasRoom(server, context_.load, context_.peers)});
    }
    auto const choice = careful_.choose(pool, accepting, unansweredAt, now);
    if (choice.check)
        check(*choice.check, now);
    auto const known = choice.server ? context_.directory.find(*choice.server, now) : std::nullopt;
    return known ? std::optional(known->record) : std::nullopt;
}

void UnansweredItems::check(ServerId const &server, Instant now)
{
    if (auto const known = context_.directory.find(server, now))
        health_.checkResponds(known->record, [this, server, now](Routing::ProbeOutcome outcome) {
            if (outcome == Routing::ProbeOutcome::Answered)
                careful_.onResponded(server, now);
            else if (outcome == Routing::ProbeOutcome::Unhealthy)
                careful_.onAccepted(server, now);
        });
}

} // namespace Anvilyard::Node
