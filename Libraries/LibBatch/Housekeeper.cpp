#include "LibBatch/Housekeeper.h"

#include "LibBatch/FileCodec.h"
#include "LibBatch/JobCodec.h"
#include "LibBatch/JobNames.h"
#include "LibBatch/StoredJson.h"

namespace Anvilyard::Batch {

Housekeeper::Housekeeper(HousekeeperOptions options)
    : options_(std::move(options))
{
}

bool Housekeeper::isBusy() const
{
    return isBusy_;
}

void Housekeeper::runRound()
{
    if (isBusy_)
        return;
    isBusy_ = true;
    auto const self = shared_from_this();
    cleanUploads([self] {
        self->cleanCancels(
            [self] { self->cleanJobs([self] { self->cleanFiles([self] { self->cleanIntents([self] { self->isBusy_ = false; }); }); }); });
    });
}

void Housekeeper::forEachObject(std::deque<Platform::Object> objects, std::function<void(Platform::Object const &, Next)> clean, Next next)
{
    if (objects.empty()) {
        next();
        return;
    }
    auto const object = std::move(objects.front());
    objects.pop_front();
    clean(object, [self = shared_from_this(), objects = std::move(objects), clean, next = std::move(next)]() mutable {
        self->forEachObject(std::move(objects), clean, std::move(next));
    });
}

void Housekeeper::listPage(Platform::Kind const &kind,
                           std::string *continueToken,
                           std::function<void(Platform::Object const &, Next)> clean,
                           Next next)
{
    Platform::ListOptions const options{.limit = options_.pageSize, .continueToken = continueToken ? *continueToken : std::string()};
    options_.store->list(
        kind,
        options,
        [self = shared_from_this(), continueToken, clean = std::move(clean), next = std::move(next)](Result<Platform::ObjectList> result) {
            // If a page cannot be read, the next round starts from the first page.
            if (continueToken)
                *continueToken = result ? result->continueToken : std::string();
            if (!result) {
                next();
                return;
            }
            self->forEachObject(
                {std::make_move_iterator(result->objects.begin()), std::make_move_iterator(result->objects.end())}, clean, next);
        });
}

void Housekeeper::cleanUploads(Next next)
{
    listPage(
        Kinds::uploads,
        nullptr,
        [this](Platform::Object const &upload, Next done) { cleanUpload(upload, std::move(done)); },
        std::move(next));
}

void Housekeeper::cleanUpload(Platform::Object const &upload, Next next)
{
    auto json = StoredJson::parse(upload.spec);
    auto const created = json ? json->instant("created") : WallInstant{};
    auto const file = json ? json->text("file") : std::string();
    if (!json || !json->firstError().empty() || options_.clock().wall < created + options_.uploadsAbandonedAfter) {
        next();
        return;
    }
    UploadId const id(upload.name.value());
    options_.store->get(
        Kinds::files,
        Platform::ObjectName(file),
        [self = shared_from_this(), id, name = upload.name, next = std::move(next)](Result<Platform::Object> const &result) {
            auto const isMissing = !result && result.error().code == Platform::PlatformError::NotFound;
            auto const record = result ? FileCodec::decode(result->spec) : tl::unexpected(result.error());
            auto const removeMarker = [self, name, next] { self->remove(Kinds::uploads, name, next); };
            if (record && record->upload == id)
                removeMarker();
            else if (record || isMissing)
                self->removeInputs(id, 0, removeMarker);
            else
                next();
        });
}

void Housekeeper::removeInputs(UploadId const &upload, std::uint32_t chunk, Next next)
{
    // Chunks are stored in order, so the first missing one is the end.
    options_.store->remove(Kinds::inputs,
                           inputName(upload, ChunkIndex(chunk)),
                           [self = shared_from_this(), upload, chunk, next = std::move(next)](Result<std::monostate> const &result) {
                               if (result)
                                   self->removeInputs(upload, chunk + 1, next);
                               else if (result.error().code == Platform::PlatformError::NotFound)
                                   next();
                               else
                                   self->isBusy_ = false;
                           });
}

void Housekeeper::cleanCancels(Next next)
{
    // A cancel that raced with the end of its job would otherwise stay in the list that every runner reads.
    auto const clean = [this](Platform::Object const &cancel, Next done) {
        auto const name = cancel.name;
        options_.store->get(
            Kinds::jobs, name, [self = shared_from_this(), name, done = std::move(done)](Result<Platform::Object> const &result) {
                auto const job = result ? JobCodec::decode(result->spec) : tl::unexpected(result.error());
                if (job && job->status != JobStatus::Open)
                    self->remove(Kinds::cancels, name, done);
                else
                    done();
            });
    };
    listPage(Kinds::cancels, nullptr, clean, std::move(next));
}

void Housekeeper::cleanJobs(Next next)
{
    auto const clean = [this](Platform::Object const &object, Next done) {
        auto const job = JobCodec::decode(object.spec);
        if (job && job->status != JobStatus::Open && job->keepUntil < options_.clock().wall)
            cleanJob(*job, std::move(done));
        else
            done();
    };
    listPage(Kinds::jobs, &jobsToken_, clean, std::move(next));
}

void Housekeeper::cleanJob(JobRecord const &job, Next next)
{
    // The job is removed last, so that after a crash a later round still finds the remaining objects.
    auto const self = shared_from_this();
    removeAll(Kinds::results, chunkPrefix(job.id), [self, job, next = std::move(next)] {
        self->removeAll(Kinds::chunks, chunkPrefix(job.id), [self, job, next] {
            self->remove(Kinds::jobs, Platform::ObjectName(job.id.value()), next);
        });
    });
}

void Housekeeper::cleanFiles(Next next)
{
    auto const clean = [this](Platform::Object const &object, Next done) {
        auto const file = FileCodec::decode(object.spec);
        if (file && file->keepUntil < options_.clock().wall)
            cleanFile(*file, std::move(done));
        else
            done();
    };
    listPage(Kinds::files, &filesToken_, clean, std::move(next));
}

void Housekeeper::cleanIntents(Next next)
{
    auto const clean = [this](Platform::Object const &object, Next done) {
        auto json = StoredJson::parse(object.spec);
        auto const keepUntil = json ? json->instant("keep_until") : WallInstant{};
        // Unreadable intents are kept: without its intent, a call might run twice.
        if (json && json->firstError().empty() && keepUntil < options_.clock().wall)
            remove(Kinds::intents, object.name, std::move(done));
        else
            done();
    };
    listPage(Kinds::intents, &intentsToken_, clean, std::move(next));
}

void Housekeeper::cleanFile(FileRecord const &file, Next next)
{
    // An input is kept as long as a job that was created from it exists.
    Platform::ListOptions const options{.namePrefix = customerJobPrefix(file.customer)};
    options_.store->list(
        Kinds::jobs, options, [self = shared_from_this(), file, next = std::move(next)](Result<Platform::ObjectList> const &result) {
            auto isUsed = !result || !result->continueToken.empty();
            for (std::size_t index = 0; result && index < result->objects.size(); ++index) {
                auto const job = JobCodec::decode(result->objects[index].spec);
                isUsed = isUsed || !job || job->upload == file.upload;
            }
            if (isUsed) {
                next();
                return;
            }
            self->removeInputs(
                file.upload, 0, [self, file, next] { self->remove(Kinds::files, Platform::ObjectName(file.id.value()), next); });
        });
}

void Housekeeper::removeAll(Platform::Kind const &kind, std::string const &prefix, Next next)
{
    Platform::ListOptions const options{.namePrefix = prefix, .limit = options_.pageSize};
    options_.store->list(
        kind, options, [self = shared_from_this(), kind, prefix, next = std::move(next)](Result<Platform::ObjectList> const &result) {
            if (!result) {
                self->isBusy_ = false;
                return;
            }
            if (result->objects.empty()) {
                next();
                return;
            }
            Names names;
            for (auto const &object : result->objects)
                names.push_back(object.name);
            self->removeEach(kind, std::move(names), [self, kind, prefix, next] { self->removeAll(kind, prefix, next); });
        });
}

void Housekeeper::removeEach(Platform::Kind const &kind, Names names, Next next)
{
    if (names.empty()) {
        next();
        return;
    }
    auto const name = std::move(names.front());
    names.pop_front();
    remove(kind, name, [self = shared_from_this(), kind, names = std::move(names), next = std::move(next)] {
        self->removeEach(kind, names, next);
    });
}

void Housekeeper::remove(Platform::Kind const &kind, Platform::ObjectName const &name, Next next)
{
    options_.store->remove(kind, name, [self = shared_from_this(), next = std::move(next)](Result<std::monostate> const &result) {
        // If the store is unavailable, the round ends. The next one removes the remaining objects.
        if (result || result.error().code == Platform::PlatformError::NotFound)
            next();
        else
            self->isBusy_ = false;
    });
}

} // namespace Anvilyard::Batch
