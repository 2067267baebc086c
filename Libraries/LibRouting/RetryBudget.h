#pragma once

#include "LibCore/Time.h"

namespace Anvilyard::Routing {

struct RetryBudgetOptions {
    /// Retries earned by each first send.
    double perRequest = 0.1;
    /// Retries earned each second, so that an instance with little traffic can retry at all.
    double perSecond = 1;
    /// Maximum number of retries that can be saved up.
    double maxSaved = 20;
};

/// Limits retries to a share of first sends, so that they cannot multiply the load of overloaded servers. Performs no I/O.
class RetryBudget
{
public:
    RetryBudget(RetryBudgetOptions options, Instant now);

    void onFirstSend();
    /// Takes one retry from the budget. Returns `false` if none is left.
    [[nodiscard]] bool tryTake(Instant now);

private:
    RetryBudgetOptions options_;
    double saved_;
    Instant refilledAt_;
};

} // namespace Anvilyard::Routing
