#include "LibBatch/JobRecords.h"

namespace Anvilyard::Batch {

void addOutcomes(OutcomeCounts &counts, std::string const &outcomes)
{
    for (auto const code : outcomes) {
        switch (static_cast<ItemOutcome>(code)) {
        case ItemOutcome::Succeeded:
            ++counts.succeeded;
            break;
        case ItemOutcome::Failed:
            ++counts.failed;
            break;
        case ItemOutcome::Unknown:
            ++counts.unknown;
            break;
        case ItemOutcome::Cancelled:
            ++counts.cancelled;
            break;
        case ItemOutcome::Pending:
            break;
        }
    }
}

} // namespace Anvilyard::Batch
