#include "LibOperator/RuleAcceptance.h"

#include "LibOperator/NewestRules.h"
#include "LibPlatform/PlatformError.h"
#include "LibRules/RuleFileParser.h"

#include <utility>

namespace Anvilyard::Operator {

using Outcome = Acceptance::Outcome;
using Rules::AcceptedRules;

namespace {

constexpr Duration StaleReadDelay = 100ms;

Acceptance failed(Error error)
{
    return {.outcome = Outcome::Failed, .error = std::move(error)};
}

/// Runs one proposal, which may need several attempts.
class AcceptanceRun
{
public:
    AcceptanceRun(AcceptanceOptions const &options, RuleProposal const &proposal)
        : options_(options)
        , proposal_(proposal)
    {
    }

    Acceptance run()
    {
        for (std::size_t attempt = 0; attempt < options_.attempts; ++attempt) {
            auto newest = findNewest(options_.store, takenGeneration_);
            if (!newest)
                return failed(newest.error());
            auto acceptance = isReadStale(*newest) ? std::nullopt : propose(*newest);
            if (acceptance)
                return std::move(*acceptance);
            if (std::exchange(sawStaleRead_, false))
                options_.wait(StaleReadDelay);
        }
        return failed({.code = make_error_code(Platform::PlatformError::Conflict),
                       .detail = "other operators created the next generation first in every attempt"});
    }

private:
    /// Returns whether the read did not show a generation that is known to exist.
    bool isReadStale(std::optional<AcceptedRules> const &newest)
    {
        auto const seen = newest ? newest->generation : Generation(0);
        bool const isBehindBase = proposal_.base.kind == RuleBase::Kind::Generation && seen < proposal_.base.generation;
        sawStaleRead_ = isBehindBase || (takenGeneration_ && seen < *takenGeneration_);
        return sawStaleRead_;
    }

    /// Makes one attempt on top of the newest rules. Returns `std::nullopt` if another operator was faster or a read was stale.
    std::optional<Acceptance> propose(std::optional<AcceptedRules> const &newest)
    {
        auto acceptance = resolveText(newest);
        if (sawStaleRead_)
            return std::nullopt;
        if (acceptance.outcome != Outcome::Accepted)
            return acceptance;
        auto const next = Generation(acceptance.generation.value() + 1);
        if (auto parsed = Rules::parseRules(acceptance.text, next); !parsed) {
            acceptance.outcome = Outcome::Faulty;
            acceptance.faults = std::move(parsed.error());
            return acceptance;
        }
        auto const created = options_.store.create({
            .generation = next,
            .base = proposal_.base.kind == RuleBase::Kind::Generation ? proposal_.base.generation : acceptance.generation,
            .author = proposal_.author,
            .text = acceptance.text,
            .digest = Rules::rulesDigest(acceptance.text),
            .writer = options_.makeWriter(),
            .acceptedAt = options_.clock(),
        });
        if (created && *created == CreateResult::Taken) {
            takenGeneration_ = next;
            return std::nullopt;
        }
        if (created) {
            acceptance.generation = next;
            return acceptance;
        }
        acceptance.outcome = created.error().code == Platform::PlatformError::OutcomeUnknown ? Outcome::Unsettled : Outcome::Failed;
        acceptance.error = created.error();
        return acceptance;
    }

    /// Returns the text to accept on top of the newest rules with outcome Accepted, or the outcome that prevents it.
    Acceptance resolveText(std::optional<AcceptedRules> const &newest)
    {
        if (!newest)
            return {.outcome = Outcome::Accepted, .text = proposal_.text};
        Acceptance acceptance{.outcome = Outcome::Accepted, .generation = newest->generation, .text = proposal_.text};
        if (newest->text == proposal_.text) {
            acceptance.outcome = Outcome::Unchanged;
            return acceptance;
        }
        if (proposal_.base.kind == RuleBase::Kind::None) {
            acceptance.outcome = Outcome::BaseUnknown;
            return acceptance;
        }
        if (proposal_.base.kind == RuleBase::Kind::Newest || proposal_.base.generation == newest->generation)
            return acceptance;
        return rebase(std::move(acceptance), *newest);
    }

    Acceptance rebase(Acceptance acceptance, AcceptedRules const &newest)
    {
        if (auto error = readBase())
            return failed(std::move(*error));
        if (!base_) {
            acceptance.outcome = Outcome::BaseUnknown;
            return acceptance;
        }
        auto merged = Rules::rebaseRules({
            .base = base_->text,
            .ours = proposal_.text,
            .ourAuthor = proposal_.author,
            .theirs = newest.text,
            .theirAuthor = newest.author,
        });
        if (!merged) {
            acceptance.outcome = Outcome::Conflicting;
            acceptance.conflicts = std::move(merged.error());
            return acceptance;
        }
        acceptance.text = std::move(*merged);
        acceptance.isRebased = true;
        if (acceptance.text == newest.text)
            acceptance.outcome = Outcome::Unchanged;
        return acceptance;
    }

    /// Generations have no gaps, so a base that is not older than the oldest stored generation exists. A read that does not show
    /// it is stale.
    std::optional<Error> readBase()
    {
        if (base_)
            return std::nullopt;
        auto base = options_.store.get(proposal_.base.generation);
        auto const oldest = options_.store.oldest();
        if (!base || !oldest)
            return base ? oldest.error() : base.error();
        base_ = std::move(*base);
        sawStaleRead_ = !base_ && (!*oldest || proposal_.base.generation >= **oldest);
        return std::nullopt;
    }

    AcceptanceOptions const &options_;
    RuleProposal const &proposal_;
    std::optional<AcceptedRules> base_;
    /// Generation that another operator has created.
    std::optional<Generation> takenGeneration_;
    /// Whether the last read did not show a generation that is known to exist.
    bool sawStaleRead_ = false;
};

} // namespace

Acceptance acceptRules(AcceptanceOptions const &options, RuleProposal const &proposal)
{
    return AcceptanceRun(options, proposal).run();
}

} // namespace Anvilyard::Operator
