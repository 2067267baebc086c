#pragma once

#include "LibServing/PeerExchange.h"
#include "Services/Node/NodeContext.h"
#include "Services/Node/StoreFollower.h"

#include <deque>
#include <map>
#include <string>

namespace Anvilyard::Node {

/// How far a peer has followed the platform's store.
struct PeerProgress {
    /// Address for calls to the peer.
    Address peer;
    DataCentreId dataCentre;
    Serving::StateVersion stateVersion{0};
    Serving::StoreRevision serversRevision{0};
};

/// Keeps the desired state and the servers of the context up to date, from the platform's store or from a peer that has followed
/// the store further. The versions in force never decrease.
class FleetFollower
{
public:
    /// `onStateChanged` is called when a newer desired state takes effect.
    FleetFollower(NodeContext &context, std::function<void()> onStateChanged);

    void start();
    /// Initially `Serving::ChangeSource::Peers`, with one list from the store.
    void setChangeSource(Serving::ChangeSource source);
    /// Initially the default.
    void setWatchHold(Serving::WatchHold hold);
    /// Removes servers whose registration has lapsed. Call several times a second.
    void onTick(Instant now);
    /// Called when servers were ejected or restored.
    void onEjectionsChanged();
    /// Called when a server stated in a response that it is leaving.
    void onServerLeaving(Serving::ServerRecord const &server);
    /// Requests a snapshot from the peer if it has followed the store further than this instance.
    void onPeerProgress(PeerProgress const &progress, Instant now);
    /// Returns the desired state and the servers for a peer, without what the peer has: a desired state of `version` and the servers up to
    /// `revision`.
    [[nodiscard]] std::string changesSince(Serving::StateVersion version, std::uint64_t revision) const;

    [[nodiscard]] Serving::StoreRevision serversRevision() const;
    /// Whether both the desired state and the servers have been received.
    [[nodiscard]] bool isComplete() const;

private:
    struct ServerEntry {
        std::uint64_t revision = 0;
        std::string spec;
    };

    void applyState(std::string const &spec);
    void applyServerList(std::vector<Platform::Object> const &objects, std::uint64_t revision);
    void applyServerChange(Platform::WatchChange change, Platform::Object const &object);
    /// Applies the change without publishing it. Returns whether it was newer than what is known.
    bool recordServerChange(Platform::WatchChange change, Platform::Object const &object, Instant now);
    /// How long the store may hold the calls of the watches; `std::nullopt` for the default.
    [[nodiscard]] std::optional<std::chrono::milliseconds> holdTime() const;
    void requestChanges(Address const &peer, Instant now);
    void applyChanges(std::string_view text);
    [[nodiscard]] Duration expectedLag(PeerProgress const &progress) const;
    void publishServers(Instant now);

    NodeContext &context_;
    std::function<void()> onStateChanged_;
    std::string stateSpec_;
    std::map<ServerId, ServerEntry> servers_;
    std::uint64_t serversRevision_ = 0;
    bool hasServers_ = false;
    /// Time of the next change of the usable servers that no event announces, such as a lapse.
    std::optional<Instant> nextServerChange_;
    Instant nextPeerCall_ = Instant::min();
    /// A peer has been found to be ahead of this instance.
    struct Behind {
        Instant since;
        Serving::StateVersion stateVersion{0};
        std::uint64_t serversRevision = 0;
    };
    std::optional<Behind> behind_;
    Serving::ChangeSource source_ = Serving::ChangeSource::Peers;
    Serving::WatchHold watchHold_ = Serving::WatchHold::Default;
    /// Random share of MaxPeerLag, so that the instances of a data centre do not all call the same peer at once.
    Duration peerLag_{0};
    /// Servers that unregistered after `removalsSince_`, with the revision of the removal.
    std::deque<std::pair<std::uint64_t, ServerId>> removals_;
    std::uint64_t removalsSince_ = 0;
    /// When the store last responded again after an outage in which registrations may have lapsed.
    std::optional<Instant> registryReturnedAt_;
    StoreFollower stateFollower_;
    StoreFollower serverFollower_;
};

} // namespace Anvilyard::Node
