#pragma once

#include "LibBatch/JobRecords.h"
#include "LibBatch/StoreCaller.h"
#include "LibHttp/Refusal.h"

#include <functional>
#include <memory>

namespace Anvilyard::Batch {

struct JobCancelOptions {
    std::shared_ptr<StoreCaller> store;
    CustomerId customer;
    JobId job;
    WallInstant now;
    std::function<void(tl::expected<JobRecord, Http::Refusal>)> done;
};

/// Stores a cancel and then acknowledges it. The cancel is written first to the short list that every runner reads, then to the
/// job.
class JobCancel : public std::enable_shared_from_this<JobCancel>
{
public:
    explicit JobCancel(JobCancelOptions options);

    void start();

private:
    void readJob();
    void createCancel(Platform::Object object, JobRecord job);
    void updateJob(Platform::Object object, JobRecord job);
    void report(tl::expected<JobRecord, Http::Refusal> result);

    static constexpr std::uint32_t MaxRounds = 5;

    JobCancelOptions options_;
    std::uint32_t rounds_ = 0;
};

} // namespace Anvilyard::Batch
