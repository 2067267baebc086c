#include "LibBatch/JobCancel.h"

#include "LibBatch/JobCodec.h"
#include "LibBatch/JobNames.h"
#include "LibBatch/JobRefusals.h"

#include <utility>

namespace Anvilyard::Batch {

JobCancel::JobCancel(JobCancelOptions options)
    : options_(std::move(options))
{
}

void JobCancel::start()
{
    readJob();
}

void JobCancel::readJob()
{
    if (++rounds_ > MaxRounds) {
        report(tl::unexpected(outcomeUnknown("The job changed too often or the store is slow; cancel it again.")));
        return;
    }
    auto const name = Platform::ObjectName(options_.job.value());
    options_.store->get(Kinds::jobs, name, [self = shared_from_this()](Result<Platform::Object> result) {
        if (!result && result.error().code != Platform::PlatformError::NotFound) {
            self->report(tl::unexpected(storeUnavailable("The job was not cancelled.")));
            return;
        }
        auto job = result ? JobCodec::decode(result->spec) : tl::unexpected(result.error());
        if (!job || job->customer != self->options_.customer)
            self->report(tl::unexpected(notFound("There is no such batch.")));
        else if (job->status != JobStatus::Open || job->isCancelRequested())
            self->report(std::move(*job));
        else
            self->createCancel(std::move(*result), std::move(*job));
    });
}

void JobCancel::createCancel(Platform::Object object, JobRecord job)
{
    NewObject cancel{.kind = Kinds::cancels, .name = Platform::ObjectName(job.id.value()), .spec = "{}"};
    options_.store->create(
        std::move(cancel),
        [self = shared_from_this(), object = std::move(object), job = std::move(job)](Result<CreateOutcome> const &result) {
            if (result)
                self->updateJob(object, job);
            else
                self->report(tl::unexpected(outcomeUnknown("It is not known whether the job is cancelled; cancel it again.")));
        });
}

void JobCancel::updateJob(Platform::Object object, JobRecord job)
{
    job.cancelRequestedAt = options_.now;
    object.spec = JobCodec::encode(job);
    options_.store->update(Kinds::jobs, std::move(object), [self = shared_from_this(), job](Result<Platform::Object> const &result) {
        // After any error, reading the job again shows whether the update was applied.
        if (result)
            self->report(job);
        else
            self->readJob();
    });
}

void JobCancel::report(tl::expected<JobRecord, Http::Refusal> result)
{
    if (auto const done = std::exchange(options_.done, nullptr))
        done(std::move(result));
}

} // namespace Anvilyard::Batch
