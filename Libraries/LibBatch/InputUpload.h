#pragma once

#include "LibBatch/InputBuilder.h"
#include "LibBatch/LineSplitter.h"
#include "LibBatch/MultipartReader.h"
#include "LibBatch/StoreCaller.h"
#include "LibHttp/Refusal.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Anvilyard::Batch {

struct InputUploadOptions {
    std::shared_ptr<StoreCaller> store;
    CustomerId customer;
    FileId file;
    UploadId upload;
    std::string filename;
    /// Boundary of a multipart form, or `std::nullopt` for plain JSON Lines.
    std::optional<std::string> multipartBoundary;
    WallInstant created;
    WallInstant keepUntil;
    InputLimits limits;
    /// Called once with the stored file or with the reason why nothing was accepted.
    std::function<void(tl::expected<FileRecord, Http::Refusal>)> done;
};

/// Validates and stores the input of one submission while it arrives. The file object is created last, so that a submission is
/// accepted either completely or not at all. Until then an upload object marks the chunks for removal by the housekeeper.
class InputUpload : public std::enable_shared_from_this<InputUpload>
{
public:
    explicit InputUpload(InputUploadOptions options);

    /// Accepts the next piece of the body. Calls `next` once all complete chunks have been stored.
    void feed(std::string_view piece, std::function<void()> next);
    void finish();
    /// Called when the caller disconnected before the end of the body.
    void abandon();

private:
    void readLines(std::string_view text);
    void processLine(std::string_view line);
    void refuse(std::string code, std::string message);
    void refuseStoreFailure(Error const &error);
    void fail(Http::Refusal refusal);
    void storePendingChunks(std::function<void()> then);
    void createMarker(std::function<void()> then);
    void storeFile();
    void resolveExisting(FileRecord const &submitted);
    void removeChunks();
    void removeChunk(std::uint32_t chunk);
    void removeMarker();
    void report(tl::expected<FileRecord, Http::Refusal> result);

    InputUploadOptions options_;
    std::optional<MultipartReader> multipart_;
    MultipartReader::State multipartState_ = MultipartReader::State::Reading;
    LineSplitter lines_;
    InputBuilder builder_;
    std::vector<std::vector<ItemSpec>> pendingChunks_;
    std::uint32_t storedChunks_ = 0;
    bool hasMarker_ = false;
    std::optional<Http::Refusal> refusal_;
};

} // namespace Anvilyard::Batch
