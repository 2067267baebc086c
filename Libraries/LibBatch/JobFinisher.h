#pragma once

#include "LibBatch/JobScheduler.h"
#include "LibBatch/StoreCaller.h"

#include <functional>
#include <memory>

namespace Anvilyard::Batch {

/// Marks a job as finished with its counts, then removes it from the lists of open jobs and cancels. Any instance may do so,
/// repeatedly or concurrently: the conditional update and the removals are idempotent.
class JobFinisher : public std::enable_shared_from_this<JobFinisher>
{
public:
    enum class End {
        Done,
        Failed,
    };

    JobFinisher(std::shared_ptr<StoreCaller> store, FinishedJob job, WallInstant now, std::function<void(End)> done);

    void start();

private:
    void readJob();
    void updateJob(Platform::Object object, JobRecord record);
    void removeEntries();

    static constexpr std::uint32_t MaxRounds = 5;

    std::shared_ptr<StoreCaller> store_;
    FinishedJob job_;
    WallInstant now_;
    std::function<void(End)> done_;
    std::uint32_t rounds_ = 0;
};

} // namespace Anvilyard::Batch
