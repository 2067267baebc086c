#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibPlatform/ObjectStore.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Anvilyard::Jobs {

/// Failures of the items of a job, one object per job that has any.
inline Platform::Kind const failureKind("batchfailures");
/// Sends of the items of a job that may have failed unseen, one object per job that has any.
inline Platform::Kind const unansweredKind("batchunanswered");

/// One uninterrupted ownership of a job by a runner.
using TenureId = StrongType<struct TenureIdTag, std::string>;

/// Number of failure responses, or of unanswered sends, by the position of the item in its job. 0 unanswered sends stand for an item that
/// has shown that it does not fail each time, so that none counts.
using FailureCounts = std::map<std::size_t, std::uint32_t>;

/// Failures of a job's items over all its owners. Each tenure writes only its own counts, so a write that is repeated because its outcome
/// is unknown counts once, and two runners that both consider themselves the owner lose nothing.
class FailureRecord
{
public:
    /// Fails with JobsError::BadObject if the text is not an encoded record.
    static Result<FailureRecord> decode(std::string_view spec);
    [[nodiscard]] std::string encode() const;

    void set(TenureId const &tenure, FailureCounts counts);
    [[nodiscard]] bool has(TenureId const &tenure, FailureCounts const &counts) const;
    /// Sums of the counts of all other tenures; 0 for items for which one of them set 0.
    [[nodiscard]] FailureCounts others(TenureId const &tenure) const;

private:
    std::map<TenureId, FailureCounts> byTenure_;
};

/// Counts of a job's items over all tenures.
struct RecordedCounts {
    FailureCounts failures;
    FailureCounts unanswered;
};

/// Reads what all tenures recorded of a job. Fails with the store's error, or with JobsError::BadObject. Replies on the store's thread.
void loadCounts(Platform::ObjectStore &store, JobId const &job, std::function<void(Result<RecordedCounts>)> reply);

/// Stores the counts of a tenure in the object of a kind, unless an earlier write has taken effect whose response was lost, and replies
/// with those of all others. Fails with the store's error, also if another runner has changed the record at the same moment; the call may
/// then be repeated. Replies on the store's thread.
void recordFailures(Platform::ObjectStore &store,
                    Platform::Kind const &kind,
                    JobId const &job,
                    TenureId const &tenure,
                    FailureCounts const &counts,
                    std::function<void(Result<FailureCounts>)> reply);

} // namespace Anvilyard::Jobs
