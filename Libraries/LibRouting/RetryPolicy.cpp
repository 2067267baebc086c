#include "LibRouting/RetryPolicy.h"

namespace Anvilyard::Routing {

using Http::ConnectionUse;
using Http::Reached;
using Http::RunState;

namespace {

constexpr int NotFound = 404;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr int InternalServerError = 500;

/// Returns whether running the request twice is harmless.
bool mayRunTwice(Repeatability repeatability)
{
    return repeatability == Repeatability::Idempotent || repeatability == Repeatability::Generation;
}

/// Returns whether the server refused the request before running it, by the definition of status 429 in HTTP or by its own
/// statement.
bool refusedBeforeRunning(ServerErrorResponse const &end)
{
    if (end.evidence == NotRunEvidence::Withheld)
        return false;
    return end.status == TooManyRequests || end.evidence == NotRunEvidence::Stated;
}

/// Returns whether the error may be specific to this server.
bool isServerSpecificError(int status)
{
    return status == InternalServerError || status == BadGateway || status == ServiceUnavailable || status == GatewayTimeout;
}

/// Returns whether another server may accept the request: the refusal may stem from load or from a model that this server has
/// not loaded.
bool otherServerMayAccept(int status)
{
    return status == NotFound || status == MisdirectedRequest || status == TooManyRequests || isServerSpecificError(status);
}

NextStep stepAfter(ExchangeFailed const &end, Repeatability repeatability)
{
    if (end.relayed == Relayed::Part)
        return repeatability == Repeatability::Generation ? NextStep::ResumeStream : NextStep::AbortResponse;
    if (end.reached == Reached::NothingSent)
        return NextStep::SendToOtherServer;
    if (!mayRunTwice(repeatability))
        return NextStep::Refuse;
    // An intermediary may have dropped the state of an old connection, so only a fresh one gives evidence about the server.
    if (end.connection == ConnectionUse::Reused)
        return NextStep::SendOnFreshConnection;
    return NextStep::SendToOtherServer;
}

NextStep stepAfter(ServerErrorResponse const &end, Repeatability repeatability)
{
    // A request that must never run twice is not resent, even if the server states that it did not run.
    if (repeatability == Repeatability::Never)
        return NextStep::RelayResponse;
    if (refusedBeforeRunning(end))
        return otherServerMayAccept(end.status) ? NextStep::SendToOtherServer : NextStep::RelayResponse;
    return isServerSpecificError(end.status) && mayRunTwice(repeatability) ? NextStep::SendToOtherServer : NextStep::RelayResponse;
}

} // namespace

RunState runStateAfter(AttemptEnd const &end)
{
    if (auto const *failure = std::get_if<ExchangeFailed>(&end))
        return failure->reached == Reached::NothingSent ? RunState::NotRun : RunState::MayHaveRun;
    return refusedBeforeRunning(std::get<ServerErrorResponse>(end)) ? RunState::NotRun : RunState::MayHaveRun;
}

NextStep nextStepAfter(AttemptEnd const &end, Repeatability repeatability)
{
    return std::visit([&](auto const &alternative) { return stepAfter(alternative, repeatability); }, end);
}

bool isRetry(NextStep step)
{
    return step == NextStep::SendOnFreshConnection || step == NextStep::SendToOtherServer || step == NextStep::ResumeStream;
}

char const *nameOf(NextStep step)
{
    switch (step) {
    case NextStep::SendOnFreshConnection:
        return "send-on-fresh-connection";
    case NextStep::SendToOtherServer:
        return "send-to-other-server";
    case NextStep::ResumeStream:
        return "resume";
    case NextStep::RelayResponse:
        return "relay-response";
    case NextStep::Refuse:
        return "refuse";
    case NextStep::AbortResponse:
        return "abort";
    }
    return "unknown";
}

} // namespace Anvilyard::Routing
