#include "LibBatch/JobSubmission.h"

#include "LibBatch/JobCodec.h"
#include "LibBatch/JobNames.h"
#include "LibBatch/JobRefusals.h"
#include "LibBatch/OpenJobCodec.h"

#include <utility>

namespace Anvilyard::Batch {

namespace {

OpenJob toOpenJob(JobRecord const &job)
{
    return {.id = job.id, .customer = job.customer, .due = job.due, .created = job.created, .services = job.services};
}

} // namespace

JobSubmission::JobSubmission(JobSubmissionOptions options)
    : options_(std::move(options))
{
}

void JobSubmission::start()
{
    options_.store->get(
        Kinds::jobs, Platform::ObjectName(options_.job.id.value()), [self = shared_from_this()](Result<Platform::Object> const &result) {
            if (!result && result.error().code == Platform::PlatformError::NotFound) {
                self->createOpenJob();
                return;
            }
            auto const existing = result ? JobCodec::decode(result->spec) : tl::unexpected(result.error());
            if (existing)
                self->reportExisting(*existing);
            else
                self->report(tl::unexpected(storeUnavailable("The job was not accepted.")));
        });
}

void JobSubmission::createOpenJob()
{
    NewObject object{.kind = Kinds::openJobs,
                     .name = Platform::ObjectName(options_.job.id.value()),
                     .spec = OpenJobCodec::encode(toOpenJob(options_.job))};
    options_.store->create(std::move(object), [self = shared_from_this()](Result<CreateOutcome> const &result) {
        if (result)
            self->createJob();
        else
            self->report(tl::unexpected(storeUnavailable("The job was not accepted.")));
    });
}

void JobSubmission::createJob()
{
    NewObject object{.kind = Kinds::jobs, .name = Platform::ObjectName(options_.job.id.value()), .spec = JobCodec::encode(options_.job)};
    options_.store->create(std::move(object), [self = shared_from_this()](Result<CreateOutcome> const &result) {
        if (!result)
            self->report(tl::unexpected(outcomeUnknown("It is not known whether the job was accepted; send it again unchanged.")));
        else if (*result == CreateOutcome::Existed)
            self->resolveExisting();
        else
            self->report(self->options_.job);
    });
}

void JobSubmission::resolveExisting()
{
    options_.store->get(
        Kinds::jobs, Platform::ObjectName(options_.job.id.value()), [self = shared_from_this()](Result<Platform::Object> const &result) {
            auto const existing = result ? JobCodec::decode(result->spec) : tl::unexpected(result.error());
            if (existing)
                self->reportExisting(*existing);
            else
                self->report(tl::unexpected(outcomeUnknown("It is not known whether the job was accepted; send it again unchanged.")));
        });
}

void JobSubmission::reportExisting(JobRecord const &existing)
{
    if (existing.digest == options_.job.digest)
        report(existing);
    else
        report(tl::unexpected(conflict("This idempotency key was used for a job with another content.")));
}

void JobSubmission::report(tl::expected<JobRecord, Http::Refusal> result)
{
    if (auto const done = std::exchange(options_.done, nullptr))
        done(std::move(result));
}

} // namespace Anvilyard::Batch
