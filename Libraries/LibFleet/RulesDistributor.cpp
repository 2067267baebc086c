#include "LibFleet/RulesDistributor.h"

#include "LibRules/RuleFileParser.h"
#include "LibRules/RuleSetObject.h"

#include <algorithm>

namespace Anvilyard::Fleet {

namespace {

/// Returns the newer text, or `std::nullopt` if the result does not match the digest of the update.
std::optional<std::string> applyUpdate(std::string const &base, RuleSetUpdate const &update)
{
    auto text = Rules::applyDifference(base, update.changes);
    if (!text)
        return std::nullopt;
    if (Rules::rulesDigest(*text) == update.digest)
        return *text;
    // A difference consists of complete lines, but the accepted file may lack the last newline.
    if (!text->empty())
        text->pop_back();
    if (Rules::rulesDigest(*text) == update.digest)
        return *text;
    return std::nullopt;
}

} // namespace

RulesDistributor::RulesDistributor(RulesDistributorOptions options)
    : options_(options)
{
}

OfferOutcome RulesDistributor::offer(RuleSetUpdate const &update)
{
    if (update.generation <= newestGeneration())
        return OfferOutcome::NotNewer;
    if (update.base == Generation()) {
        if (Rules::rulesDigest(update.text) != update.digest)
            return OfferOutcome::DigestMismatch;
        return adopt(update.generation, update.text, update.digest);
    }
    auto const *base = find(update.base);
    if (base == nullptr)
        return OfferOutcome::BaseMissing;
    auto text = applyUpdate(*base->text, update);
    if (!text) {
        needsFullText_ = true;
        return OfferOutcome::FullTextNeeded;
    }
    return adopt(update.generation, std::move(*text), update.digest);
}

OfferOutcome RulesDistributor::adopt(Generation generation, std::string text, std::string digest)
{
    auto const storedText = std::make_shared<std::string const>(std::move(text));
    texts_.push_front({.generation = generation, .text = storedText, .digest = std::move(digest)});
    if (texts_.size() > options_.maxTexts)
        texts_.pop_back();
    needsFullText_ = false;
    lastUpdate_.reset();
    auto rules = Rules::parseRules(*storedText, generation);
    if (!rules) {
        unreadableReason_ = rules.error().front().toString();
        return OfferOutcome::Unreadable;
    }
    inForce_ = std::make_shared<Rules::RuleSet const>(std::move(*rules));
    textInForce_ = storedText;
    return OfferOutcome::InForce;
}

std::optional<RuleSetUpdate> RulesDistributor::updateFor(Generation theirs)
{
    if (theirs >= newestGeneration())
        return std::nullopt;
    return makeUpdate(find(theirs));
}

std::optional<RuleSetUpdate> RulesDistributor::differenceFor(Generation theirs)
{
    if (theirs >= newestGeneration() || texts_.size() < 2)
        return std::nullopt;
    auto const *base = find(theirs);
    return makeUpdate(base == nullptr ? &texts_[1] : base);
}

RuleSetUpdate RulesDistributor::makeUpdate(StoredText const *base)
{
    auto const baseGeneration = base == nullptr ? Generation() : base->generation;
    if (lastUpdate_ && lastUpdate_->base == baseGeneration)
        return *lastUpdate_;
    auto const &newest = texts_.front();
    RuleSetUpdate update{.generation = newest.generation, .base = baseGeneration, .digest = newest.digest};
    if (base == nullptr)
        update.text = *newest.text;
    else
        update.changes = Rules::lineDifference(*base->text, *newest.text);
    lastUpdate_ = update;
    return update;
}

Generation RulesDistributor::advertisedGeneration() const
{
    return needsFullText_ ? Generation() : newestGeneration();
}

Generation RulesDistributor::newestGeneration() const
{
    return texts_.empty() ? Generation() : texts_.front().generation;
}

std::shared_ptr<Rules::RuleSet const> const &RulesDistributor::inForce() const
{
    return inForce_;
}

std::shared_ptr<std::string const> const &RulesDistributor::textInForce() const
{
    return textInForce_;
}

std::string const &RulesDistributor::unreadableReason() const
{
    return unreadableReason_;
}

RulesDistributor::StoredText const *RulesDistributor::find(Generation generation) const
{
    auto const found = std::find_if(texts_.begin(), texts_.end(), [&](auto const &text) { return text.generation == generation; });
    return found == texts_.end() ? nullptr : &*found;
}

} // namespace Anvilyard::Fleet
