#include "LibServing/VersionRecord.h"

#include "LibServing/ServingError.h"

#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

std::string encodeVersions(SoftwareVersions const &versions)
{
    json::array list;
    for (auto const &version : versions)
        list.emplace_back(version.value());
    return json::serialize(json::object{{"versions", std::move(list)}});
}

Result<SoftwareVersions> decodeVersions(std::string_view text)
try {
    SoftwareVersions versions;
    auto const value = json::parse(text);
    for (auto const &version : value.as_object().at("versions").as_array())
        versions.insert(SoftwareVersion(std::string(version.as_string())));
    return versions;
} catch (std::exception const &exception) {
    return failure(ServingError::BadRecord, std::string("software versions: ") + exception.what());
}

VersionRecord::VersionRecord(VersionRecordOptions options)
    : options_(options)
{
}

void VersionRecord::onServers(std::span<UsableServer const> servers, Instant now)
{
    for (auto &[name, pool] : pools_)
        pool.inUse.clear();
    for (auto const &server : servers) {
        auto &pool = pools_[server.record.pool];
        pool.inUse.insert(server.record.softwareVersion);
        pool.seenAt[server.record.softwareVersion] = now;
    }
}

void VersionRecord::onRecorded(PoolName const &pool, SoftwareVersions const &versions, Instant now)
{
    auto &known = pools_[pool];
    known.recorded.insert(versions.begin(), versions.end());
    for (auto const &version : versions)
        known.seenAt.try_emplace(version, now);
}

void VersionRecord::onWritten(PoolName const &pool, SoftwareVersions const &versions, Instant now)
{
    auto &known = pools_[pool];
    known.recorded.clear();
    std::erase_if(known.seenAt, [&](auto const &entry) { return !versions.contains(entry.first); });
    onRecorded(pool, versions, now);
}

void VersionRecord::onTick(Instant now)
{
    for (auto &[name, known] : pools_) {
        auto &pool = known;
        for (auto const &version : pool.inUse)
            pool.seenAt[version] = now;
        std::erase_if(pool.recorded, [&](SoftwareVersion const &version) { return now - pool.seenAt[version] >= options_.trustTime; });
    }
}

bool VersionRecord::isRecorded(PoolName const &pool, SoftwareVersion const &version) const
{
    auto const found = pools_.find(pool);
    return found != pools_.end() && found->second.recorded.contains(version);
}

SoftwareVersions VersionRecord::recorded(PoolName const &pool) const
{
    auto const found = pools_.find(pool);
    return found == pools_.end() ? SoftwareVersions() : found->second.recorded;
}

std::map<PoolName, SoftwareVersions> VersionRecord::all() const
{
    std::map<PoolName, SoftwareVersions> all;
    for (auto const &[name, pool] : pools_)
        all[name] = pool.recorded;
    return all;
}

SoftwareVersions VersionRecord::inUse(PoolName const &pool) const
{
    auto const found = pools_.find(pool);
    return found == pools_.end() ? SoftwareVersions() : found->second.inUse;
}

std::set<PoolName> VersionRecord::incomplete() const
{
    std::set<PoolName> names;
    for (auto const &[name, pool] : pools_) {
        for (auto const &version : pool.inUse) {
            if (!pool.recorded.contains(version))
                names.insert(name);
        }
    }
    return names;
}

std::set<PoolName> VersionRecord::withForgotten(Instant now) const
{
    std::set<PoolName> names;
    for (auto const &[name, pool] : pools_) {
        for (auto const &[version, seenAt] : pool.seenAt) {
            if (!pool.inUse.contains(version) && now - seenAt >= options_.forgetTime)
                names.insert(name);
        }
    }
    return names;
}

SoftwareVersions VersionRecord::wanted(PoolName const &name, SoftwareVersions const &stored, Instant now) const
{
    auto const found = pools_.find(name);
    if (found == pools_.end())
        return stored;
    auto const &pool = found->second;
    auto versions = pool.inUse;
    for (auto const &version : stored) {
        auto const seen = pool.seenAt.find(version);
        if (seen == pool.seenAt.end() || now - seen->second < options_.forgetTime)
            versions.insert(version);
    }
    return versions;
}

} // namespace Anvilyard::Serving
