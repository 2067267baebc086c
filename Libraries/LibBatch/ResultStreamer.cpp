#include "LibBatch/ResultStreamer.h"

#include "LibBatch/ChunkCodec.h"
#include "LibBatch/JobRefusals.h"
#include "LibBatch/ResultCodec.h"

#include <algorithm>
#include <utility>

namespace Anvilyard::Batch {

namespace {

constexpr std::size_t ChunksPerPage = 200;

bool belongsTo(ResultFile file, ItemOutcome outcome)
{
    return (file == ResultFile::Output) == (outcome == ItemOutcome::Succeeded);
}

} // namespace

ResultStreamer::ResultStreamer(std::shared_ptr<StoreCaller> store, ResultFileRef file, std::shared_ptr<Http::ResponseWriter> writer)
    : store_(std::move(store))
    , file_(std::move(file))
    , writer_(std::move(writer))
{
}

void ResultStreamer::start()
{
    listChunks({});
}

void ResultStreamer::listChunks(std::string continueToken)
{
    Platform::ListOptions options{.namePrefix = chunkPrefix(file_.job), .limit = ChunksPerPage, .continueToken = std::move(continueToken)};
    store_->list(Kinds::chunks, std::move(options), [self = shared_from_this()](Result<Platform::ObjectList> result) {
        if (!result) {
            self->fail();
            return;
        }
        std::sort(
            result->objects.begin(), result->objects.end(), [](auto const &left, auto const &right) { return left.name < right.name; });
        for (auto const &object : result->objects) {
            auto chunk = ChunkCodec::decode(object.spec);
            if (!chunk) {
                self->fail();
                return;
            }
            if (!chunk->parts.empty())
                self->chunks_.push_back(std::move(chunk->parts));
        }
        if (!result->continueToken.empty() && !self->listProgress_.advance(result->continueToken)) {
            self->fail();
            return;
        }
        self->continueToken_ = result->continueToken;
        if (!std::exchange(self->started_, true))
            self->writer_->start({.status = 200, .headers = {{"Content-Type", "application/jsonl"}}});
        self->nextChunk();
    });
}

void ResultStreamer::nextChunk()
{
    if (chunks_.empty()) {
        if (continueToken_.empty())
            writer_->finish();
        else
            listChunks(std::exchange(continueToken_, {}));
        return;
    }
    parts_ = std::move(chunks_.front());
    chunks_.pop_front();
    lines_.clear();
    nextPart();
}

void ResultStreamer::nextPart()
{
    if (parts_.empty()) {
        writeChunk();
        return;
    }
    auto name = Platform::ObjectName(parts_.back());
    parts_.pop_back();
    store_->get(Kinds::results, std::move(name), [self = shared_from_this()](Result<Platform::Object> const &result) {
        auto lines = result ? ResultCodec::decode(result->spec) : tl::unexpected(result.error());
        if (!lines) {
            self->fail();
            return;
        }
        for (auto &line : *lines) {
            if (belongsTo(self->file_.kind, line.outcome))
                self->lines_.push_back(std::move(line));
        }
        self->nextPart();
    });
}

void ResultStreamer::writeChunk()
{
    std::sort(lines_.begin(), lines_.end(), [](auto const &left, auto const &right) { return left.item < right.item; });
    std::string piece;
    for (auto const &line : lines_) {
        piece += line.line;
        piece += '\n';
    }
    lines_.clear();
    if (piece.empty()) {
        nextChunk();
        return;
    }
    writer_->write(std::move(piece), [self = shared_from_this()](Http::WriteOutcome outcome) {
        if (outcome == Http::WriteOutcome::Written)
            self->nextChunk();
    });
}

void ResultStreamer::fail()
{
    if (!started_) {
        writer_->respond(Http::toResponse(storeUnavailable("The results cannot be read now.")));
        return;
    }
    // Aborting the response shows the caller that the file is incomplete.
    writer_->abort();
}

} // namespace Anvilyard::Batch
