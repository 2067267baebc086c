#include "LibJobs/ResultChain.h"

#include "LibJobs/JobCodec.h"
#include "LibJobs/JobsError.h"

namespace Anvilyard::Jobs {

namespace {

using Platform::CallClass;
using Platform::PlatformError;

/// Reads an object that never changes once it exists. It may be read from a stale copy, unless that copy lacks it.
void readImmutable(Platform::ObjectStore &store,
                   Platform::Kind const &kind,
                   Platform::ObjectName const &name,
                   Platform::Reply<Platform::Object> reply)
{
    store.getStale(CallClass::Read, kind, name, [&store, kind, name, reply = std::move(reply)](Result<Platform::Object> object) mutable {
        if (object || object.error().code != PlatformError::NotFound)
            return reply(std::move(object));
        store.get(CallClass::Read, kind, name, std::move(reply));
    });
}

Result<std::optional<ResultSegment>> toSegment(std::size_t first, Result<Platform::Object> const &object)
{
    if (!object && object.error().code == PlatformError::NotFound)
        return std::optional<ResultSegment>();
    if (!object)
        return tl::unexpected(object.error());
    auto segment = decodeSegment(first, object->spec);
    if (!segment)
        return tl::unexpected(segment.error());
    return std::optional(std::move(*segment));
}

/// Loads one job: the job object, its parts and its segments.
class JobLoad : public std::enable_shared_from_this<JobLoad>
{
public:
    JobLoad(Platform::ObjectStore &store, JobId job, LoadExtent extent, std::function<void(Result<LoadedJob>)> reply)
        : store_(store)
        , job_(std::move(job))
        , extent_(extent)
        , reply_(std::move(reply))
    {
    }

    void start()
    {
        store_.get(CallClass::Read, jobKind, jobObject(job_), [self = shared_from_this()](Result<Platform::Object> object) {
            if (!object) {
                if (object.error().code == PlatformError::NotFound)
                    return self->reply_(failure(JobsError::JobNotFound, self->job_.value()));
                return self->reply_(tl::unexpected(object.error()));
            }
            auto head = decodeJob(self->job_, object->spec);
            if (!head)
                return self->reply_(tl::unexpected(head.error()));
            self->loaded_.record = std::move(head->record);
            self->loaded_.isEnded = isEnded(object->status);
            if (self->extent_ == LoadExtent::HeadOnly)
                return self->reply_(std::move(self->loaded_));
            self->parts_ = head->parts;
            self->loadPart(0);
        });
    }

private:
    void loadPart(std::size_t part)
    {
        if (part == parts_)
            return extent_ == LoadExtent::Full ? loadNextSegment() : reply_(std::move(loaded_));
        readImmutable(store_, jobPartKind, partObject(job_, part), [self = shared_from_this(), part](Result<Platform::Object> object) {
            if (!object)
                return self->reply_(tl::unexpected(object.error()));
            auto items = decodePart(object->spec);
            if (!items)
                return self->reply_(tl::unexpected(items.error()));
            auto &all = self->loaded_.record.items;
            all.insert(all.end(), std::make_move_iterator(items->begin()), std::make_move_iterator(items->end()));
            self->loadPart(part + 1);
        });
    }

    void loadNextSegment()
    {
        if (listed_ >= loaded_.record.items.size())
            return reply_(std::move(loaded_));
        readImmutable(
            store_, segmentKind, segmentObject(job_, listed_), [self = shared_from_this()](Result<Platform::Object> const &object) {
                auto segment = toSegment(self->listed_, object);
                if (!segment)
                    return self->reply_(tl::unexpected(segment.error()));
                if (!*segment)
                    return self->reply_(std::move(self->loaded_));
                self->listed_ += (*segment)->outcomes.size();
                self->loaded_.segments.push_back(std::move(**segment));
                self->loadNextSegment();
            });
    }

    Platform::ObjectStore &store_;
    JobId job_;
    LoadExtent extent_;
    std::function<void(Result<LoadedJob>)> reply_;
    LoadedJob loaded_;
    std::size_t parts_ = 0;
    std::size_t listed_ = 0;
};

} // namespace

void loadJob(Platform::ObjectStore &store, JobId const &job, LoadExtent extent, std::function<void(Result<LoadedJob>)> reply)
{
    std::make_shared<JobLoad>(store, job, extent, std::move(reply))->start();
}

void loadSegment(Platform::ObjectStore &store,
                 JobId const &job,
                 std::size_t first,
                 std::function<void(Result<std::optional<ResultSegment>>)> reply)
{
    store.get(CallClass::Read,
              segmentKind,
              segmentObject(job, first),
              [first, reply = std::move(reply)](Result<Platform::Object> const &object) { reply(toSegment(first, object)); });
}

} // namespace Anvilyard::Jobs
