#include "Services/Node/VersionRegister.h"

#include "LibObserve/Events.h"
#include "LibPlatform/PagedList.h"

#include <algorithm>
#include <random>

namespace Anvilyard::Node {

using Platform::CallClass;
using Platform::PlatformError;
using Serving::SoftwareVersions;

namespace {

Platform::Kind const versionKind("softwareversions");
constexpr Duration RetryDelay = 300ms;
/// The runner that ranks first for a pool writes its record. Others do so only if it has not within this time, and as much more as they
/// would need to call the store one after the other.
constexpr Duration WriterHeadStart = 60ms;
constexpr Duration SpreadPerInstance = 1ms;
constexpr Duration CheckInterval = 1s;

Platform::ObjectName nameOf(PoolName const &pool)
{
    return Platform::ObjectName(pool.value());
}

} // namespace

VersionRegister::VersionRegister(NodeContext &context)
    : context_(context)
{
}

void VersionRegister::start()
{
    Platform::listAllPages(
        [this](Platform::ListOptions options, Platform::Reply<Platform::ObjectList> reply) {
            context_.store.list(CallClass::Read, versionKind, std::move(options), std::move(reply));
        },
        // Versions leave the record so late that an old list is no worse than a new one.
        {.consistency = Platform::ListConsistency::MayBeStale},
        [this](std::vector<Platform::Object> const &objects) {
            for (auto const &object : objects) {
                PoolName const pool(object.name.value());
                if (auto const versions = decode(pool, object))
                    context_.versions.onRecorded(pool, *versions, readLocalClock());
            }
        },
        [](Result<std::monostate> const &listed) {
            if (!listed)
                Observe::log(Observe::Events::NodeVersionRecordFailed, {{"pool", ""}, {"error", listed.error().toString()}});
        });
}

Result<SoftwareVersions> VersionRegister::decode(PoolName const &pool, Result<Platform::Object> const &stored)
{
    if (!stored && stored.error().code == PlatformError::NotFound)
        return SoftwareVersions();
    if (!stored)
        return tl::unexpected(stored.error());
    auto versions = Serving::decodeVersions(stored->spec);
    if (!versions)
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", pool.value()}, {"error", versions.error().toString()}});
    return versions;
}

std::set<PoolName> VersionRegister::streamPools() const
{
    std::set<PoolName> pools;
    if (!context_.routes)
        return pools;
    for (auto const &route : context_.routes->state().routes) {
        if (route.kind != Serving::RouteKind::Streaming || !route.isResumable)
            continue;
        for (auto const &pool : route.pools)
            pools.insert(pool.pool);
    }
    return pools;
}

void VersionRegister::onTick(Instant now)
{
    bool const isChanged = std::exchange(seenServers_, context_.serversVersion) != context_.serversVersion;
    if (isChanged)
        context_.versions.onServers(context_.directory.usable(now), now);
    if (!isChanged && updates_.empty() && now < nextCheckAt_)
        return;
    nextCheckAt_ = now + CheckInterval;
    context_.versions.onTick(now);
    auto due = context_.versions.incomplete();
    for (auto const &pool : context_.versions.withForgotten(now)) {
        if (context_.peers.firstRunnerOf(pool) == context_.settings.instance)
            due.insert(pool);
    }
    auto const pools = streamPools();
    std::erase_if(due, [&](PoolName const &pool) { return !pools.contains(pool); });
    std::erase_if(updates_, [&](auto const &entry) { return !entry.second.isInFlight && !due.contains(entry.first); });
    for (auto const &pool : due) {
        auto const [found, isNew] = updates_.try_emplace(pool);
        if (isNew && context_.peers.firstRunnerOf(pool) != context_.settings.instance) {
            auto const spread = WriterHeadStart + SpreadPerInstance * static_cast<Duration::rep>(context_.fleetSize);
            std::uniform_int_distribution<Duration::rep> delay(WriterHeadStart.count(), WriterHeadStart.count() + spread.count());
            found->second.notBefore = now + Duration(delay(context_.random));
        }
        if (!found->second.isInFlight && now >= found->second.notBefore)
            update(pool);
    }
}

bool VersionRegister::isComplete() const
{
    auto const pools = streamPools();
    return std::all_of(pools.begin(), pools.end(), [this](PoolName const &pool) {
        return seenServers_ == context_.serversVersion
            && (context_.versions.inUse(pool).empty() || !context_.versions.recorded(pool).empty());
    });
}

void VersionRegister::recordNow(Instant now)
{
    onTick(now);
    for (auto &[pool, state] : updates_)
        state.notBefore = std::min(state.notBefore, now);
    onTick(now);
}

void VersionRegister::update(PoolName const &pool)
{
    updates_[pool].isInFlight = true;
    context_.store.get(
        CallClass::Commit, versionKind, nameOf(pool), [this, pool](Result<Platform::Object> const &stored) { write(pool, stored); });
}

void VersionRegister::write(PoolName const &pool, Result<Platform::Object> const &stored)
{
    auto const versions = decode(pool, stored);
    if (!versions && !stored)
        return retry(pool, versions.error());
    // A record that cannot be read is replaced, with all that is in use.
    auto const known = versions.value_or(SoftwareVersions());
    auto const wanted = context_.versions.wanted(pool, known, readLocalClock());
    if (versions && wanted == known)
        return onWritten(pool, wanted, stored);
    auto const onReply = [this, pool, wanted](Result<Platform::Object> const &written) { onWritten(pool, wanted, written); };
    if (!stored)
        return context_.store.create(CallClass::Commit, versionKind, nameOf(pool), Serving::encodeVersions(wanted), onReply);
    auto object = *stored;
    object.spec = Serving::encodeVersions(wanted);
    context_.store.update(CallClass::Commit, versionKind, std::move(object), onReply);
}

void VersionRegister::onWritten(PoolName const &pool, SoftwareVersions const &versions, Result<Platform::Object> const &written)
{
    // Another instance may have written first, or the response was lost. The next reading shows it.
    if (!written)
        return retry(pool, written.error());
    updates_.erase(pool);
    auto const before = context_.versions.recorded(pool);
    context_.versions.onWritten(pool, versions, readLocalClock());
    if (before == versions)
        return;
    std::string names;
    for (auto const &version : versions)
        names += (names.empty() ? "" : ",") + version.value();
    Observe::log(Observe::Events::NodeVersionsRecorded, {{"pool", pool.value()}, {"software_versions", names}});
}

void VersionRegister::retry(PoolName const &pool, Error const &error)
{
    Observe::log(Observe::Events::NodeVersionRecordFailed, {{"pool", pool.value()}, {"error", error.toString()}});
    bool const isRace = error.code == PlatformError::AlreadyExists || error.code == PlatformError::Conflict;
    updates_[pool] = {.notBefore = readLocalClock() + (isRace ? Duration::zero() : RetryDelay)};
}

void VersionRegister::read(PoolName const &pool, Reply reply)
{
    auto &reads = reads_[pool];
    if (!reads.underWay.empty()) {
        reads.waiting.push_back(std::move(reply));
        return;
    }
    reads.underWay.push_back(std::move(reply));
    startRead(pool);
}

void VersionRegister::startRead(PoolName const &pool)
{
    context_.store.get(CallClass::Read, versionKind, nameOf(pool), [this, pool](Result<Platform::Object> const &stored) {
        auto const versions = decode(pool, stored);
        auto &reads = reads_[pool];
        auto const replies = std::exchange(reads.underWay, std::exchange(reads.waiting, {}));
        if (!reads.underWay.empty())
            startRead(pool);
        for (auto const &reply : replies)
            reply(versions ? std::optional(*versions) : std::nullopt);
    });
}

} // namespace Anvilyard::Node
