#pragma once

#include "LibCore/Ids.h"
#include "LibFleet/PeerMessages.h"
#include "LibRules/RuleSet.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Fleet {

struct RulesDistributorOptions {
    /// Number of texts kept as bases for line differences; a peer that lags further gets the full text.
    std::size_t maxTexts = 8;
};

/// Outcome of offering a generation to the distributor.
enum class OfferOutcome {
    /// The generation is newer and now in force.
    InForce,
    /// The generation is newer and passed on, but this program cannot parse it; the previous rules stay in force.
    Unreadable,
    /// The generation is not newer than the stored one.
    NotNewer,
    /// The update is a difference to a generation that is not stored here.
    BaseMissing,
    /// The difference resulted in a text with another digest; the full text is needed.
    FullTextNeeded,
    /// The digest of a full text does not match.
    DigestMismatch,
};

/// Stores the newest accepted rules seen and never returns to older ones, regardless of what the platform or peers send.
/// Performs no I/O.
class RulesDistributor
{
public:
    explicit RulesDistributor(RulesDistributorOptions options);

    /// Accepts a full text or a line difference, from the platform or from a peer.
    OfferOutcome offer(RuleSetUpdate const &update);

    /// Returns the update for a peer with generation `theirs`, or `std::nullopt` if it is not behind. The update is the full
    /// text if the peer's generation is no longer stored.
    [[nodiscard]] std::optional<RuleSetUpdate> updateFor(Generation theirs);
    /// Returns a difference to `theirs`, or to the previous generation, which most peers have, if `theirs` is not stored.
    /// Never returns the full text, since the peer may not need it.
    [[nodiscard]] std::optional<RuleSetUpdate> differenceFor(Generation theirs);
    /// Generation to report to peers; 0 requests the full text.
    [[nodiscard]] Generation advertisedGeneration() const;

    /// Newest generation stored, including one that this program cannot parse.
    [[nodiscard]] Generation newestGeneration() const;
    [[nodiscard]] std::shared_ptr<Rules::RuleSet const> const &inForce() const;
    /// Text of the rules in force.
    [[nodiscard]] std::shared_ptr<std::string const> const &textInForce() const;
    /// First fault of a newer generation that could not be parsed, for the log.
    [[nodiscard]] std::string const &unreadableReason() const;

private:
    struct StoredText {
        Generation generation;
        std::shared_ptr<std::string const> text;
        std::string digest;
    };

    [[nodiscard]] StoredText const *find(Generation generation) const;
    RuleSetUpdate makeUpdate(StoredText const *base);
    OfferOutcome adopt(Generation generation, std::string text, std::string digest);

    RulesDistributorOptions options_;
    /// Newest first.
    std::deque<StoredText> texts_;
    std::shared_ptr<Rules::RuleSet const> inForce_ = std::make_shared<Rules::RuleSet const>();
    std::shared_ptr<std::string const> textInForce_ = std::make_shared<std::string const>();
    std::string unreadableReason_;
    bool needsFullText_ = false;
    /// The last update created, cached because most peers lag by the same generation.
    std::optional<RuleSetUpdate> lastUpdate_;
};

} // namespace Anvilyard::Fleet
