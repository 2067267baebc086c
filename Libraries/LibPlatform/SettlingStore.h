#pragma once

#include "LibCore/Random.h"
#include "LibPlatform/ChangeSettlement.h"
#include "LibPlatform/ObjectStore.h"

#include <functional>
#include <memory>

namespace Anvilyard::Platform {

struct SettlingStoreOptions {
    /// Must outlive all changes that are being settled.
    ObjectStore &store;
    /// Runs a task on the store's thread after a delay.
    std::function<void(Duration, std::function<void()>)> after;
    std::function<Instant()> clock = readLocalClock;
    /// Time after the start of a change after which an unknown outcome is reported.
    Duration settleTimeout = 10s;
    RandomSource random = seedFromSystem();
};

/// Makes conditional changes and settles their outcome if the response is lost. The member `writer` of the spec must be the given
/// id, which must be unique (see makeWriterId()). ChangeSettlement describes the results.
class SettlingStore
{
public:
    explicit SettlingStore(SettlingStoreOptions options);

    void create(CallClass callClass, Kind kind, ObjectName name, std::string spec, WriterId writer, Reply<Object> reply);
    void update(CallClass callClass, Kind kind, Object object, WriterId writer, Reply<Object> reply);

private:
    SettlingStoreOptions options_;
};

} // namespace Anvilyard::Platform
