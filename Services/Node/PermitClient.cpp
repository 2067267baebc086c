#include "Services/Node/PermitClient.h"

#include "LibObserve/Events.h"
#include "Services/Node/PeerPermitCall.h"

#include <algorithm>

namespace Anvilyard::Node {

using Serving::Permit;
using Serving::Urgency;

namespace {

/// Instances of a region respond within milliseconds.
constexpr Duration PermitTimeout = 100ms;
/// Time for which an instance that did not respond is not asked again. After 1.5 s without its reports another one issues its permits.
constexpr Duration SilenceTime = 500ms;
constexpr int BadRequestStatus = 400;

} // namespace

PermitClient::PermitClient(NodeContext &context, NodeMetrics &metrics)
    : context_(context)
    , metrics_(metrics)
    , ownShare_(Serving::makeShareOptions(context.random))
{
}

void PermitClient::request(Serving::ServerRecord const &server, Urgency urgency, Callback onDone)
{
    auto const now = readLocalClock();
    auto const allowance = context_.limits.allowances().find(server, urgency, now);
    if (!allowance)
        return onDone(true);
    if (allowance->exhaustedUntil)
        return onDone(false);
    auto const limit = context_.limits.allowances().limits().all().at(server.id);
    auto const issuer = context_.peers.permitIssuerOf(server.id);
    if (issuer == context_.settings.instance)
        return finish(limit.server, urgency, issue(limit, urgency, now), onDone);
    auto const silent = issuer ? silentUntil_.find(*issuer) : silentUntil_.end();
    bool const isSilent = silent != silentUntil_.end() && now < silent->second;
    auto const address = issuer && !isSilent ? context_.peers.addressOf(*issuer) : std::nullopt;
    if (!address)
        return finish(limit.server, urgency, takeFromOwnShare(limit, urgency, now), onDone);
    requestFrom(*issuer, *address, limit, urgency, std::move(onDone));
}

void PermitClient::requestFrom(
    InstanceId const &issuer, Address const &address, Serving::ServerLimit const &limit, Urgency urgency, Callback onDone)
{
    auto const now = readLocalClock();
    Http::ClientRequest request{
        .server = address,
        .request = toRequest({.limit = limit, .urgency = urgency}, now),
        .deadline = now + PermitTimeout,
        .connectTimeout = PermitTimeout,
    };
    context_.peerClient->fetch(
        std::move(request),
        [this, issuer, limit, urgency, onDone = std::move(onDone)](tl::expected<Http::HttpResponse, Http::ExchangeFailure> answer) {
            auto const answeredAt = readLocalClock();
            if (auto const permit = answer ? parsePermit(*answer) : std::nullopt) {
                silentUntil_.erase(issuer);
                return finish(limit.server, urgency, *permit, onDone);
            }
            silentUntil_[issuer] = answeredAt + SilenceTime;
            Observe::log(Observe::Events::NodePermitIssuerSilent,
                         {{"server", limit.server.id.value()},
                          {"issuer", issuer.value()},
                          {"error", answer ? "status " + std::to_string(answer->status) : answer.error().error.toString()}});
            finish(limit.server, urgency, takeFromOwnShare(limit, urgency, answeredAt), onDone);
        });
}

Permit PermitClient::issue(Serving::ServerLimit const &limit, Urgency urgency, Instant now)
{
    auto const rate = context_.limits.allowances().limits().find(limit.server);
    // The limit has ended, which the instance that requests the permit has not heard of.
    if (!rate)
        return {.isGranted = true};
    return issuer_.request({.server = limit.server, .rate = *rate, .urgency = urgency}, now);
}

/// The issuer may go on to issue permits to others, so this instance uses no more than an equal share.
Permit PermitClient::takeFromOwnShare(Serving::ServerLimit const &limit, Urgency urgency, Instant now)
{
    metrics_.onPermit("own-share");
    Serving::RequestRate const share(limit.rate->value() / static_cast<double>(std::max<std::size_t>(1, context_.fleetSize)));
    auto permit = ownShare_.request({.server = limit.server, .rate = share, .urgency = urgency}, now);
    // The issuer, or another one, may respond by then.
    permit.wait = std::min(permit.wait, SilenceTime);
    return permit;
}

void PermitClient::finish(Serving::ServerProcess const &server, Urgency urgency, Permit const &permit, Callback const &onDone)
{
    metrics_.onPermit(permit.isGranted ? "granted" : "denied");
    if (!permit.isGranted)
        context_.limits.onDenied(server, urgency, readLocalClock() + permit.wait);
    onDone(permit.isGranted);
}

bool PermitClient::handle(Http::HttpRequest const &request, std::shared_ptr<Http::ResponseWriter> const &writer)
{
    if (!isPeerPermitCall(request))
        return false;
    auto const now = readLocalClock();
    auto const call = parsePeerPermitCall(request, now);
    if (!call) {
        writer->respond({.status = BadRequestStatus});
        return true;
    }
    context_.limits.merge(std::span(&call->limit, 1), now);
    writer->respond(toResponse(issue(call->limit, call->urgency, now)));
    return true;
}

} // namespace Anvilyard::Node
