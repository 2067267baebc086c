#include "Services/Node/QuarantineRegister.h"

#include "LibObserve/Events.h"

#include <random>
#include <utility>

namespace Anvilyard::Node {

using Platform::CallClass;
using Platform::Object;
using Platform::PlatformError;

namespace {

Platform::Kind const quarantineKind("quarantines");
Platform::ObjectName const evidenceName("evidence");
/// The store responds within milliseconds. During an outage the evidence comes with the first reports of the peers.
constexpr Duration MaxWait = 1s;
constexpr Duration RetryDelay = 200ms;
/// Interval of the writes of one instance, as each crash of a series changes the evidence.
constexpr Duration WriteInterval = 100ms;
/// Time for which a trial waits for the store.
constexpr Duration MaxReservationWait = 300ms;

} // namespace

QuarantineRegister::QuarantineRegister(NodeContext &context)
    : context_(context)
{
}

void QuarantineRegister::start()
{
    waitsUntil_ = readLocalClock() + MaxWait;
    read();
}

void QuarantineRegister::read()
{
    context_.store.get(CallClass::Read, quarantineKind, evidenceName, [this](Result<Object> const &stored) {
        isRead_ = merge(stored);
        if (!isRead_)
            readTimer_ = context_.loop.at(readLocalClock() + RetryDelay, [this] { read(); });
    });
}

bool QuarantineRegister::merge(Result<Object> const &stored)
{
    if (!stored) {
        bool const isMissing = stored.error().code == PlatformError::NotFound;
        if (!isMissing)
            Observe::log(Observe::Events::NodeQuarantineRecordFailed, {{"error", stored.error().toString()}});
        return isMissing;
    }
    auto const evidence = Serving::decodePromptEvidence(stored->spec);
    if (!evidence) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", evidenceName.value()}, {"error", evidence.error().toString()}});
        return true;
    }
    context_.prompts.merge(*evidence);
    return true;
}

bool QuarantineRegister::isReady(Instant now) const
{
    return isRead_ || now >= waitsUntil_;
}

void QuarantineRegister::reserveTrial(Serving::RequestSuspects suspects, std::function<void(std::optional<WallInstant>)> onDecided)
{
    // Others at this instance wait for the trial.
    context_.prompts.onPlaced(suspects);
    auto const reservation = std::make_shared<Reservation>(Reservation{.suspects = std::move(suspects), .onDecided = std::move(onDecided)});
    reservation->timeout = context_.loop.at(readLocalClock() + MaxReservationWait, [this, weak = std::weak_ptr(reservation)] {
        if (auto const waiting = weak.lock())
            grant(*waiting, waiting->writtenAt.value_or(readClocks().wall));
    });
    tryToReserve(reservation);
}

void QuarantineRegister::tryToReserve(std::shared_ptr<Reservation> const &reservation)
{
    context_.store.get(CallClass::Commit, quarantineKind, evidenceName, [this, reservation](Result<Object> stored) {
        writeTrial(reservation, std::move(stored));
    });
}

void QuarantineRegister::writeTrial(std::shared_ptr<Reservation> const &reservation, Result<Object> stored)
{
    if (!reservation->onDecided)
        return;
    auto const now = readClocks().wall;
    bool const isNew = !stored && stored.error().code == PlatformError::NotFound;
    if (!merge(stored))
        return grant(*reservation, now);
    if (!context_.prompts.isTrial(reservation->suspects))
        return refuse(*reservation);
    reservation->writtenAt = now;
    auto spec = Serving::encodePromptEvidence(context_.prompts.quarantine().evidenceWithTrial(reservation->suspects, now));
    auto const onReply = [this, reservation, now](Result<Object> const &written) {
        if (!reservation->onDecided)
            return;
        bool const isOvertaken =
            !written && (written.error().code == PlatformError::Conflict || written.error().code == PlatformError::AlreadyExists);
        if (isOvertaken) {
            reservation->writtenAt.reset();
            return tryToReserve(reservation);
        }
        if (!written)
            Observe::log(Observe::Events::NodeQuarantineRecordFailed, {{"error", written.error().toString()}});
        grant(*reservation, now);
    };
    if (isNew)
        return context_.store.create(CallClass::Commit, quarantineKind, evidenceName, std::move(spec), onReply);
    stored->spec = std::move(spec);
    context_.store.update(CallClass::Commit, quarantineKind, std::move(*stored), onReply);
}

void QuarantineRegister::grant(Reservation &reservation, WallInstant at)
{
    // Evidence that has come meanwhile may hold the request.
    bool const mayBeSent = reservation.writtenAt || context_.prompts.isTrial(reservation.suspects);
    decide(reservation, mayBeSent ? context_.prompts.onReserved(reservation.suspects, at) : std::nullopt);
}

void QuarantineRegister::refuse(Reservation &reservation)
{
    decide(reservation, std::nullopt);
}

void QuarantineRegister::decide(Reservation &reservation, std::optional<WallInstant> trialAt)
{
    auto const onDecided = std::exchange(reservation.onDecided, nullptr);
    reservation.timeout.reset();
    onDecided(trialAt);
}

void QuarantineRegister::onTick(Instant now)
{
    if (!isInFlight_ && now >= notBefore_ && context_.prompts.ownChanges() != writtenChanges_)
        update();
}

void QuarantineRegister::update()
{
    isInFlight_ = true;
    context_.store.get(CallClass::Commit, quarantineKind, evidenceName, [this](Result<Object> stored) { write(std::move(stored)); });
}

void QuarantineRegister::write(Result<Object> stored)
{
    bool const isNew = !stored && stored.error().code == PlatformError::NotFound;
    if (!stored && !isNew)
        return retry(stored.error());
    // What others wrote stays in the object.
    merge(stored);
    auto spec = Serving::encodePromptEvidence(context_.prompts.quarantine().evidence());
    auto const onReply = [this, changes = context_.prompts.ownChanges()](Result<Object> const &written) { onWritten(changes, written); };
    if (isNew)
        return context_.store.create(CallClass::Commit, quarantineKind, evidenceName, std::move(spec), onReply);
    // An earlier write has taken effect whose response was lost.
    if (stored->spec == spec)
        return onReply(stored);
    stored->spec = std::move(spec);
    context_.store.update(CallClass::Commit, quarantineKind, std::move(*stored), onReply);
}

void QuarantineRegister::onWritten(std::uint64_t changes, Result<Object> const &written)
{
    // Another instance may have written first, or the response was lost. The next reading shows it.
    if (!written)
        return retry(written.error());
    isInFlight_ = false;
    writtenChanges_ = changes;
    notBefore_ = readLocalClock() + WriteInterval;
}

void QuarantineRegister::retry(Error const &error)
{
    isInFlight_ = false;
    Observe::log(Observe::Events::NodeQuarantineRecordFailed, {{"error", error.toString()}});
    std::uniform_int_distribution<Duration::rep> delay(0, Duration(RetryDelay).count());
    notBefore_ = readLocalClock() + Duration(delay(context_.random));
}

} // namespace Anvilyard::Node
