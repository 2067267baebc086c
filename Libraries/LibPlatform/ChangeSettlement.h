#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibPlatform/ObjectStore.h"
#include "LibPlatform/ObjectWriter.h"

#include <optional>

namespace Anvilyard::Platform {

enum class SettlementStep {
    /// Repeat the same conditional change.
    Change,
    /// Read the object.
    Read,
    Finish,
};

struct SettlementAction {
    SettlementStep step = SettlementStep::Finish;
    /// Time to wait before the step.
    Duration delay{0};
    /// Set if `step` is Finish.
    std::optional<Result<Object>> result;
};

struct ChangeSettlementOptions {
    WriterId writer;
    /// Version that the change is conditional on; empty for a create.
    ResourceVersion base;
    /// Time after which an unknown outcome is reported as OutcomeUnknown.
    Instant deadline;
    Duration minDelay = 50ms;
    Duration maxDelay = 1s;
};

/// Determines the outcome of one conditional change whose response may be lost. A read alone cannot prove that the change was
/// not applied: the read may be stale, and the change may still be in flight. Therefore, unless a read shows the own writer
/// id, the same change is sent again. As it is conditional, it takes effect at most once.
///
/// The result is the object if the change was applied, OutcomeUnknown at the deadline, or another error if the change was not
/// applied and never will be. AlreadyExists and Conflict mean that the object has the state of another writer. The caller
/// should read that state: if the outcome was unknown for some time, it may be based on this change.
class ChangeSettlement
{
public:
    ChangeSettlement(ChangeSettlementOptions options, RandomSource &random);

    SettlementAction onChanged(Result<Object> result, Instant now);
    SettlementAction onRead(Result<Object> result, Instant now);

private:
    [[nodiscard]] SettlementAction scheduleStep(SettlementStep step, Instant now);
    [[nodiscard]] SettlementAction onRepeatedChange(Result<Object> result, Instant now);

    ChangeSettlementOptions options_;
    RandomSource &random_;
    Duration nextDelay_;
    bool wasOutcomeUnknown_ = false;
    /// Error of a repeated change that was refused because of the object's state: the first attempt or another writer's change
    /// was applied.
    std::optional<Error> refusal_;
};

} // namespace Anvilyard::Platform
