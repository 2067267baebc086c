#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Rules {

/// Kind of the objects that contain accepted rule sets; there is one object per generation, created once and never changed.
inline constexpr std::string_view RuleSetKind = "rulesets";

/// An accepted rules file as stored by the platform. A file is accepted by creating the object with the next number; the
/// first to create it wins. After a lost answer, reading the object's `writer` shows which attempt created it.
struct AcceptedRules {
    Generation generation;
    /// The generation that the operator's change is based on.
    Generation base;
    std::string author;
    std::string text;
    /// SHA-256 of the text in lower-case hex.
    std::string digest;
    /// Unique to one attempt, so that the writer recognises its own object after a lost answer.
    std::string writer;
    WallInstant acceptedAt;
};

/// For example "ruleset-00000042".
std::string ruleSetName(Generation generation);
std::optional<Generation> generationOfName(std::string_view name);

std::string encodeRuleSet(AcceptedRules const &rules);
/// Returns an error if a field is missing or the digest does not match the text.
Result<AcceptedRules> decodeRuleSet(std::string_view spec);

/// Returns the SHA-256 in lower-case hex.
std::string rulesDigest(std::string_view text);

} // namespace Anvilyard::Rules
