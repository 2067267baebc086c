#pragma once

#include "LibCore/Time.h"
#include "LibOperator/RuleSetStore.h"
#include "LibRules/RuleFault.h"
#include "LibRules/RuleRebase.h"

#include <functional>
#include <string>
#include <vector>

namespace Anvilyard::Operator {

/// Generation that an operator's file is based on.
struct RuleBase {
    enum class Kind {
        /// The file names no generation.
        None,
        Generation,
        /// The newest generation. The file replaces it, including changes that others made meanwhile.
        Newest,
    };
    Kind kind = Kind::None;
    Generation generation;
};

/// A rules file proposed by an operator.
struct RuleProposal {
    std::string text;
    std::string author;
    RuleBase base;
};

struct Acceptance {
    enum class Outcome {
        Accepted,
        /// The newest rules are already the same.
        Unchanged,
        /// The rules, or their merge with the changes of others, have faults.
        Faulty,
        /// Another operator changed the same lines.
        Conflicting,
        /// The base is not named or no longer stored, so it is unknown what the file changes.
        BaseUnknown,
        /// A call to the platform failed; nothing was accepted.
        Failed,
        /// The response was lost and the outcome could not be settled; the rules may have been accepted.
        Unsettled,
    };

    Outcome outcome = Outcome::Failed;
    /// Generation that was accepted, or else the newest one.
    Generation generation;
    /// Text that was accepted or proposed.
    std::string text;
    /// Whether the changes of others were merged.
    bool isRebased = false;
    std::vector<Rules::RuleFault> faults;
    std::vector<Rules::RebaseConflict> conflicts;
    Error error;
};

struct AcceptanceOptions {
    RuleSetStore &store;
    std::function<WallInstant()> clock;
    /// Returns a unique writer id for an attempt to create a generation.
    std::function<std::string()> makeWriter;
    /// Waits before a stale read is repeated.
    std::function<void(Duration)> wait;
    /// Maximum number of attempts. An attempt ends when another operator was faster or a read was stale.
    std::size_t attempts = 20;
};

/// Accepts a file by creating the next generation. If another operator was faster, the file's changes are rebased onto the newer
/// rules. The file is refused if both changed the same lines, so that no accepted line is lost.
Acceptance acceptRules(AcceptanceOptions const &options, RuleProposal const &proposal);

} // namespace Anvilyard::Operator
