#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <span>

namespace Anvilyard::Jobs {

struct CarefulPlacementOptions {
    /// Time for which items wait for a server that has answered one. Then one of them is sent to another server.
    Duration patience = 1s;
    /// Time after which servers that do not respond to checks are used as well, if they accept connections.
    Duration unhealthyPatience = 5s;
    /// Time for which a server counts as failing after it has failed an item, unless it answers one.
    Duration failureLifetime = 30s;
    /// Time for which a server that has failed an item is used after others, even if it answers some.
    Duration suspicionTime = 10s;
    Duration checkInterval = 100ms;
};

/// Chooses servers for items of which earlier sends were not answered, so that few are left. A server may answer health checks and fail all
/// items, so these items are sent to servers that have answered items since, each of which takes one for each of its answers. Only if there
/// is none, the items try other servers, one at a time, that respond to checks; those that failed the last item they got are used if all
/// have. A server may also run items and answer no check, so after a longer time it is enough that it accepts connections. Performs no
/// I/O.
class CarefulPlacement
{
public:
    /// A server of a pool that accepts new items.
    struct Server {
        ServerId id;
        bool hasRoom = false;
    };
    /// What to do for an item. Nothing if it has to wait.
    struct Choice {
        /// Server to which to send the item.
        std::optional<ServerId> server;
        /// Server to check. The outcome is to be reported to onResponded() or onAccepted().
        std::optional<ServerId> check;
    };

    explicit CarefulPlacement(CarefulPlacementOptions options);

    /// Records that the server has answered an item, or a part of one.
    void onAnswered(ServerId const &server, Instant sentAt, Instant now);
    /// Records that the exchange of an item with the server broke.
    void onFailed(ServerId const &server, Instant now);
    /// Records that the server responded to a check that began at this time.
    void onResponded(ServerId const &server, Instant askedAt);
    /// Records that the server accepted the connection of a check that began at this time, but did not respond.
    void onAccepted(ServerId const &server, Instant askedAt);
    /// Chooses for one item. `unansweredAt`: end of its last send that was not answered. To be called again for as long as it waits.
    [[nodiscard]] Choice choose(PoolName const &pool, std::span<Server const> servers, Instant unansweredAt, Instant now);
    void onSent(PoolName const &pool, ServerId const &server, Instant now);

private:
    struct Evidence {
        Instant answeredAt = Instant::min();
        Instant failedAt = Instant::min();
        Instant respondedAt = Instant::min();
        Instant acceptedAt = Instant::min();
        Instant askedAt = Instant::min();
        /// When the last of these items was sent to it.
        Instant sentAt = Instant::min();
    };

    struct Pool {
        /// Since when items wait, or when the last one was sent.
        Instant waitingSince = Instant::min();
        Instant lastChoiceAt = Instant::min();
        Instant nextCheckAt = Instant::min();
    };

    [[nodiscard]] Evidence evidenceOf(ServerId const &server) const;
    [[nodiscard]] bool isFailing(Evidence const &evidence, Instant now) const;
    [[nodiscard]] std::optional<ServerId> findProven(std::span<Server const> servers, Instant unansweredAt, Instant now) const;
    [[nodiscard]] Choice chooseUnproven(Pool &pool, std::span<Server const> servers, Instant unansweredAt, Instant now);

    CarefulPlacementOptions options_;
    std::map<ServerId, Evidence> evidence_;
    std::map<PoolName, Pool> pools_;
    Instant nextRemovalAt_ = Instant::min();
};

} // namespace Anvilyard::Jobs
