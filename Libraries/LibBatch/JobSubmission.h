#pragma once

#include "LibBatch/JobRequest.h"
#include "LibBatch/StoreCaller.h"
#include "LibHttp/Refusal.h"

#include <functional>
#include <memory>

namespace Anvilyard::Batch {

struct JobSubmissionOptions {
    std::shared_ptr<StoreCaller> store;
    JobRecord job;
    /// Called once with the accepted job, which may be an earlier one, or with the refusal.
    std::function<void(tl::expected<JobRecord, Http::Refusal>)> done;
};

/// Stores a job durably. The entry in the list of open jobs is created first, so that runners always find an accepted job. The
/// conditional create of the job object accepts the job.
class JobSubmission : public std::enable_shared_from_this<JobSubmission>
{
public:
    explicit JobSubmission(JobSubmissionOptions options);

    void start();

private:
    void createOpenJob();
    void createJob();
    void resolveExisting();
    void reportExisting(JobRecord const &existing);
    void report(tl::expected<JobRecord, Http::Refusal> result);

    JobSubmissionOptions options_;
};

} // namespace Anvilyard::Batch
