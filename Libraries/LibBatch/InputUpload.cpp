#include "LibBatch/InputUpload.h"

#include "LibBatch/FileCodec.h"
#include "LibBatch/InputCodec.h"
#include "LibBatch/JobNames.h"
#include "LibBatch/JobRefusals.h"
#include "LibBatch/StoredJson.h"

namespace Anvilyard::Batch {

InputUpload::InputUpload(InputUploadOptions options)
    : options_(std::move(options))
    , lines_(options_.limits.lineBytes)
    , builder_(options_.limits)
{
    if (options_.multipartBoundary)
        multipart_.emplace(*options_.multipartBoundary);
}

void InputUpload::feed(std::string_view piece, std::function<void()> next)
{
    // After an error the rest of the body is read and dropped, so that the caller can read the refusal.
    if (refusal_) {
        next();
        return;
    }
    if (multipart_) {
        multipartState_ = multipart_->feed(piece, [this](std::string_view text) { readLines(text); });
        if (multipartState_ == MultipartReader::State::Malformed)
            refuse("malformed_form", "The multipart form is malformed or has more than one file.");
    } else {
        readLines(piece);
    }
    storePendingChunks(std::move(next));
}

void InputUpload::readLines(std::string_view text)
{
    if (lines_.feed(text, [this](std::string_view line) { processLine(line); }) == LineSplitter::State::LineTooLong)
        refuse("line_too_long",
               "A line after item " + std::to_string(builder_.items()) + " is longer than " + std::to_string(options_.limits.lineBytes)
                   + " bytes.");
}

void InputUpload::processLine(std::string_view line)
{
    if (refusal_)
        return;
    if (auto errorMessage = builder_.addLine(line)) {
        refuse("invalid_line", "Nothing was accepted; " + *errorMessage + ".");
        return;
    }
    if (auto chunk = builder_.takeFullChunk())
        pendingChunks_.push_back(std::move(*chunk));
}

void InputUpload::refuse(std::string code, std::string message)
{
    if (!refusal_)
        refusal_ = badRequest(std::move(code), std::move(message));
}

void InputUpload::refuseStoreFailure(Error const &error)
{
    if (refusal_)
        return;
    if (error.code == Platform::PlatformError::ValueTooLarge)
        refuse("line_too_long", "A part of the input is too large to be stored.");
    else
        refusal_ = storeUnavailable("The input could not be stored and was not accepted.");
}

void InputUpload::storePendingChunks(std::function<void()> then)
{
    if (refusal_ || pendingChunks_.empty()) {
        pendingChunks_.clear();
        then();
        return;
    }
    if (!hasMarker_) {
        createMarker([self = shared_from_this(), then = std::move(then)] { self->storePendingChunks(then); });
        return;
    }
    auto const spec = InputCodec::encode(pendingChunks_.front());
    pendingChunks_.erase(pendingChunks_.begin());
    NewObject chunk{.kind = Kinds::inputs, .name = inputName(options_.upload, ChunkIndex(storedChunks_)), .spec = spec};
    ++storedChunks_;
    // The name of the upload is unique, so an existing chunk was created by an earlier try whose reply was lost.
    options_.store->create(std::move(chunk), [self = shared_from_this(), then = std::move(then)](Result<CreateOutcome> const &result) {
        if (!result)
            self->refuseStoreFailure(result.error());
        self->storePendingChunks(then);
    });
}

void InputUpload::createMarker(std::function<void()> then)
{
    hasMarker_ = true;
    auto spec = boost::json::serialize(boost::json::object{{"file", options_.file.value()}, {"created", storedInstant(options_.created)}});
    NewObject mark{.kind = Kinds::uploads, .name = Platform::ObjectName(options_.upload.value()), .spec = std::move(spec)};
    options_.store->create(std::move(mark), [self = shared_from_this(), then = std::move(then)](Result<CreateOutcome> const &result) {
        if (!result)
            self->refuseStoreFailure(result.error());
        then();
    });
}

void InputUpload::finish()
{
    if (!refusal_ && lines_.finish([this](std::string_view line) { processLine(line); }) == LineSplitter::State::Good) {
        if (multipart_ && (multipartState_ != MultipartReader::State::Complete || !multipart_->hasFile()))
            refuse("malformed_form", "The multipart form is not complete or has no part named \"file\".");
        else if (!refusal_ && builder_.items() == 0)
            refuse("empty_file", "The input holds no item.");
        else if (auto lastChunk = builder_.takeLastChunk())
            pendingChunks_.push_back(std::move(*lastChunk));
    }
    storePendingChunks([self = shared_from_this()] { self->storeFile(); });
}

void InputUpload::storeFile()
{
    if (refusal_) {
        fail(*refusal_);
        return;
    }
    FileRecord file;
    file.id = options_.file;
    file.customer = options_.customer;
    file.upload = options_.upload;
    file.filename = multipart_ && !multipart_->filename().empty() ? multipart_->filename() : options_.filename;
    file.bytes = builder_.bytes();
    file.items = builder_.items();
    file.chunkItems = builder_.chunkItems();
    file.endpoint = builder_.endpoint();
    file.services = builder_.services();
    file.digest = builder_.finishDigest();
    file.created = options_.created;
    file.keepUntil = options_.keepUntil;
    NewObject object{.kind = Kinds::files, .name = Platform::ObjectName(file.id.value()), .spec = FileCodec::encode(file)};
    options_.store->create(std::move(object), [self = shared_from_this(), file](Result<CreateOutcome> const &result) {
        if (!result) {
            // The file may have been stored, so its chunks are kept. The housekeeper removes them later if it was not.
            self->refuseStoreFailure(result.error());
            self->report(tl::unexpected(*self->refusal_));
        } else if (*result == CreateOutcome::Existed) {
            self->resolveExisting(file);
        } else {
            self->removeMarker();
            self->report(file);
        }
    });
}

void InputUpload::resolveExisting(FileRecord const &submitted)
{
    options_.store->get(Kinds::files,
                        Platform::ObjectName(submitted.id.value()),
                        [self = shared_from_this(), submitted](Result<Platform::Object> const &result) {
                            auto const existing = result ? FileCodec::decode(result->spec) : tl::unexpected(result.error());
                            if (!existing) {
                                self->refuseStoreFailure(existing.error());
                                self->report(tl::unexpected(*self->refusal_));
                            } else if (existing->upload == submitted.upload) {
                                self->removeMarker();
                                self->report(*existing);
                            } else if (existing->digest == submitted.digest) {
                                self->removeChunks();
                                self->report(*existing);
                            } else {
                                self->fail(conflict("This Idempotency-Key was used for a file with another content."));
                            }
                        });
}

void InputUpload::fail(Http::Refusal refusal)
{
    removeChunks();
    report(tl::unexpected(std::move(refusal)));
}

void InputUpload::abandon()
{
    // A write of a chunk may be in flight, so the chunks are not removed here. The housekeeper finds them by the upload object.
    refusal_ = Http::Refusal{};
}

void InputUpload::removeChunks()
{
    if (hasMarker_)
        removeChunk(0);
}

void InputUpload::removeChunk(std::uint32_t chunk)
{
    if (chunk == storedChunks_) {
        removeMarker();
        return;
    }
    options_.store->remove(Kinds::inputs,
                           inputName(options_.upload, ChunkIndex(chunk)),
                           [self = shared_from_this(), chunk](Result<std::monostate> const &result) {
                               // Chunks that cannot be removed now stay marked for the housekeeper.
                               if (result || result.error().code == Platform::PlatformError::NotFound)
                                   self->removeChunk(chunk + 1);
                           });
}

void InputUpload::removeMarker()
{
    options_.store->remove(Kinds::uploads, Platform::ObjectName(options_.upload.value()), [](Result<std::monostate> const &) {});
}

void InputUpload::report(tl::expected<FileRecord, Http::Refusal> result)
{
    if (auto const done = std::exchange(options_.done, nullptr))
        done(std::move(result));
}

} // namespace Anvilyard::Batch
