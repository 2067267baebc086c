#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibFleet/FleetView.h"
#include "LibRouting/PrefixIndex.h"
#include "LibRouting/PromptPrefix.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Routing {

/// Load reported by a backend server; it lags behind the actual load.
struct LoadReport {
    double running = 0;
    double waiting = 0;
    /// Requests that run at once; further ones wait. Unlimited if unknown.
    double slots = std::numeric_limits<double>::infinity();
    /// Time that work takes, relative to the mean of the servers.
    double slowness = 1;
    /// Requests that are expected to end while the expected requests arrive.
    double departures = 0;
};

struct ChooserOptions {
    InstanceId instance;
    DataCentreId dataCentre;
    /// Number of servers of a larger pool that this instance sends to. Smaller pools are used completely.
    std::size_t subsetSize = 64;
    /// Share of the subset taken from the local data centre, as far as it has enough servers.
    double localShare = 0.75;
    /// Requests in flight that a local server may have in excess of a server in another data centre.
    double spillMargin = 4;
    /// Weight of a waiting request relative to a running one.
    double waitingWeight = 2;
    /// Age at which the weight of a load report has fallen to one half.
    Duration reportHalfLife = 2s;
    /// Requests in flight that a completely cached prompt outweighs.
    double affinityWeight = 4;
    /// Affinity applies only up to this multiple of the mean load.
    double affinityLoadBound = 1.25;
    std::size_t prefixCapacity = 50'000;
    /// Expected load at which a server gets no further requests.
    double maxLoad = 64;
    /// Requests in flight that outweigh the slowness of a server that takes twice the usual time and has free slots.
    double slownessWeight = 0.5;
};

/// Whether a pool can accept a request now.
enum class Room {
    Free,
    /// There are eligible servers, and all are at their maximum load.
    Full,
    /// No server is eligible.
    NoServer,
};

struct ChoiceRequest {
    /// Model and version as named by the engines; empty if any server is suitable.
    std::string_view model;
    PromptPrefix const *prefix = nullptr;
    /// Servers already tried.
    std::span<ServerId const> excluded;
    /// Expected number of requests that other instances sent to the servers of the subset since the load was reported.
    double unreportedArrivals = 0;
};

/// Chooses among the backend servers of one pool for one traffic thread. Time and randomness are passed in. Performs no I/O.
class ServerChooser
{
public:
    explicit ServerChooser(ChooserOptions options);

    /// Sets the pool's servers as given by the rules and the instance list. Only ready servers are chosen. The state of
    /// servers that remain is kept.
    void setServers(std::span<Fleet::BackendServer const> servers);
    void setEjected(std::set<ServerId> const &ejected);
    void onStarted(ServerId const &server, PromptPrefix const *prefix);
    void onFinished(ServerId const &server);
    void onLoadReport(ServerId const &server, LoadReport const &report, Instant now);
    /// Sets the models and versions that an engine has loaded, by the names used in ChoiceRequest. An engine that has not
    /// reported any is assumed to have all.
    void onModels(ServerId const &server, std::set<std::string> models);
    /// Records that the engine cached this prefix, for a request of any instance.
    void onCacheStored(ServerId const &server, std::uint64_t hash);
    /// Records that the engine evicted this prefix from its cache.
    void onCacheEvicted(ServerId const &server, std::uint64_t hash);
    /// Records that the engine's cache events had a gap, or that the engine restarted.
    void onCacheUnknown(ServerId const &server);

    /// Returns the server to send to, valid until the next setServers(), or `nullptr` if none is eligible or all are full.
    [[nodiscard]] Fleet::BackendServer const *choose(ChoiceRequest const &request, Instant now, RandomSource &random);

    /// Load at which the servers end that got the expected requests of the last choice.
    [[nodiscard]] double expectedLevel() const;

    /// Returns whether choose() would find a server for the model, and if not, whether waiting can help.
    [[nodiscard]] Room room(std::string_view model, Instant now);

    /// Returns the servers of the subset, in order of rank.
    [[nodiscard]] std::vector<Fleet::BackendServer> subset() const;
    [[nodiscard]] double ownInFlight(ServerId const &server) const;
    [[nodiscard]] double expectedLoad(ServerId const &server, Instant now) const;

private:
    struct Candidate {
        double ownInFlight = 0;
        /// Requests of other instances in flight, by the last report.
        double othersAtReport = 0;
        double slots = std::numeric_limits<double>::infinity();
        double slowness = 1;
        double departures = 0;
        Instant reportedAt;
        double distanceCost = 0;
        std::uint64_t idHash = 0;
        /// Models loaded, as a bit set; see bitOf().
        std::uint64_t models = AnyModel;
        bool hasReport = false;
        bool isEjected = false;
    };

    static constexpr std::uint64_t AnyModel = ~std::uint64_t{0};

    /// Returns the bit assigned to a model, so that a choice need not compare names. Returns AnyModel for an empty name, or
    /// if no bit is left.
    [[nodiscard]] std::uint64_t bitOf(std::string_view model);
    [[nodiscard]] std::uint64_t bitsOf(std::set<std::string> const &models) const;
    [[nodiscard]] static bool hasModel(Candidate const &candidate, std::uint64_t modelBit);
    [[nodiscard]] double expectedLoad(Candidate const &candidate, Instant now, double &reportWeight) const;
    [[nodiscard]] double distanceCost(Fleet::BackendServer const &server) const;
    void rank(std::vector<Fleet::BackendServer> &servers) const;
    /// Mean over the candidates of the requests of other instances.
    [[nodiscard]] double meanOthers() const;
    /// Load after the expected departures, counted higher at a slow server.
    [[nodiscard]] double pacedLoad(Candidate const &candidate, double load) const;
    void updateCachedShares(PromptPrefix const &prefix, std::uint64_t modelBit, std::size_t count);
    [[nodiscard]] std::size_t homeServerOf(PromptPrefix const &prefix, std::uint64_t modelBit, std::size_t count) const;
    [[nodiscard]] std::size_t
    bestCandidate(ChoiceRequest const &request, std::size_t begin, std::size_t end, Instant now, RandomSource &random);
    [[nodiscard]] Candidate *find(ServerId const &server);
    [[nodiscard]] bool isExcluded(std::size_t index, std::span<ServerId const> excluded) const;

    ChooserOptions options_;
    /// In order of rank, the subset first; candidates_ and cachedShares_ have the same order.
    std::vector<Fleet::BackendServer> servers_;
    std::vector<Candidate> candidates_;
    std::vector<double> cachedShares_;
    std::vector<std::size_t> matched_;
    std::vector<double> loads_;
    std::vector<double> costs_;
    std::vector<double> steps_;
    double expectedLevel_ = 0;
    std::size_t subsetCount_ = 0;
    /// Unset after a report until it is needed.
    mutable std::optional<double> meanOthers_;
    std::unordered_map<ServerId, std::size_t> indexOf_;
    PrefixIndex prefixes_;
    std::map<std::string, std::uint64_t, std::less<>> modelBits_;
    std::map<ServerId, std::set<std::string>> loadedModels_;
};

} // namespace Anvilyard::Routing
