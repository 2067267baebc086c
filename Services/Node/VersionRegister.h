#pragma once

#include "Services/Node/NodeContext.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::Node {

/// Keeps the record of the software versions at which streams may have begun, one object of the platform's store a pool. It costs some
/// calls for each new version and none for a stream.
class VersionRegister
{
public:
    /// Called with the versions in the record, or std::nullopt if the store did not respond.
    using Reply = std::function<void(std::optional<Serving::SoftwareVersions>)>;

    explicit VersionRegister(NodeContext &context);

    /// Lists the record. Call once.
    void start();
    /// Adds versions of new servers to the record, and removes those that have had no servers for long.
    void onTick(Instant now);
    /// Whether streams may begin in each pool that has servers and streams that may be resumed.
    [[nodiscard]] bool isComplete() const;
    /// Adds missing versions to the record without leaving that to another instance, as requests wait for it.
    void recordNow(Instant now);
    /// Reads the record of a pool as it is at the time of this call or later. Calls that come while one is under way share the next one.
    void read(PoolName const &pool, Reply reply);

private:
    struct Update {
        Instant notBefore;
        bool isInFlight = false;
    };

    struct Read {
        std::vector<Reply> underWay;
        std::vector<Reply> waiting;
    };

    /// Pools whose streams may be resumed.
    [[nodiscard]] std::set<PoolName> streamPools() const;
    void update(PoolName const &pool);
    void write(PoolName const &pool, Result<Platform::Object> const &stored);
    void onWritten(PoolName const &pool, Serving::SoftwareVersions const &versions, Result<Platform::Object> const &written);
    void retry(PoolName const &pool, Error const &error);
    void startRead(PoolName const &pool);
    [[nodiscard]] Result<Serving::SoftwareVersions> decode(PoolName const &pool, Result<Platform::Object> const &stored);

    NodeContext &context_;
    std::uint64_t seenServers_ = 0;
    Instant nextCheckAt_ = Instant::min();
    std::map<PoolName, Update> updates_;
    std::map<PoolName, Read> reads_;
};

} // namespace Anvilyard::Node
