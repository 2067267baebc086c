#include "LibBatch/JobFinisher.h"

#include "LibBatch/JobCodec.h"
#include "LibBatch/JobNames.h"

namespace Anvilyard::Batch {

JobFinisher::JobFinisher(std::shared_ptr<StoreCaller> store, FinishedJob job, WallInstant now, std::function<void(End)> done)
    : store_(std::move(store))
    , job_(std::move(job))
    , now_(now)
    , done_(std::move(done))
{
}

void JobFinisher::start()
{
    readJob();
}

void JobFinisher::readJob()
{
    if (++rounds_ > MaxRounds) {
        done_(End::Failed);
        return;
    }
    store_->get(Kinds::jobs, Platform::ObjectName(job_.job.value()), [self = shared_from_this()](Result<Platform::Object> result) {
        auto record = result ? JobCodec::decode(result->spec) : tl::unexpected(result.error());
        if (!record)
            self->done_(End::Failed);
        else if (record->status != JobStatus::Open)
            self->removeEntries();
        else
            self->updateJob(std::move(*result), std::move(*record));
    });
}

void JobFinisher::updateJob(Platform::Object object, JobRecord record)
{
    record.status = job_.status;
    record.counts = job_.counts;
    record.finished = now_;
    object.spec = JobCodec::encode(record);
    store_->update(Kinds::jobs, std::move(object), [self = shared_from_this()](Result<Platform::Object> const &result) {
        // After any error, reading the job again shows whether the update was applied.
        if (result)
            self->removeEntries();
        else
            self->readJob();
    });
}

void JobFinisher::removeEntries()
{
    auto const name = Platform::ObjectName(job_.job.value());
    store_->remove(Kinds::cancels, name, [self = shared_from_this(), name](Result<std::monostate> const &) {
        self->store_->remove(Kinds::openJobs, name, [self](Result<std::monostate> const &result) {
            auto const isRemoved = result || result.error().code == Platform::PlatformError::NotFound;
            self->done_(isRemoved ? End::Done : End::Failed);
        });
    });
}

} // namespace Anvilyard::Batch
