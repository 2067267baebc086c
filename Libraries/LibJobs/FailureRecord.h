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

/// One uninterrupted ownership of a job by a runner.
using TenureId = StrongType<struct TenureIdTag, std::string>;

/// Number of failure responses by the position of the item in its job.
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
    /// Sums of the counts of all other tenures.
    [[nodiscard]] FailureCounts others(TenureId const &tenure) const;

private:
    std::map<TenureId, FailureCounts> byTenure_;
};

/// Stores the counts of a tenure and replies with those of all others. Fails with the store's error, also if another runner has changed
/// the record at the same moment; the call may then be repeated. Replies on the store's thread.
void recordFailures(Platform::ObjectStore &store,
                    JobId const &job,
                    TenureId const &tenure,
                    FailureCounts const &counts,
                    std::function<void(Result<FailureCounts>)> reply);

} // namespace Anvilyard::Jobs
