#include "LibBatch/PreemptedStreams.h"

namespace Anvilyard::Batch {

namespace {

/// Approximate size of an entry without its text.
constexpr std::size_t EntryOverheadBytes = 512;

std::size_t sizeOf(PreemptedStream const &stream)
{
    return stream.assembler.bytes() + EntryOverheadBytes;
}

} // namespace

PreemptedStreams::PreemptedStreams(std::size_t maxBytes)
    : maxBytes_(maxBytes)
{
}

void PreemptedStreams::keep(ItemKey const &key, PreemptedStream stream)
{
    bytes_ += sizeOf(stream);
    if (auto const existing = streams_.find(key); existing != streams_.end())
        bytes_ -= sizeOf(existing->second);
    else
        insertionOrder_.push_back(key);
    streams_.insert_or_assign(key, std::move(stream));
    while (bytes_ > maxBytes_ && !insertionOrder_.empty()) {
        auto const oldest = streams_.find(insertionOrder_.front());
        insertionOrder_.pop_front();
        bytes_ -= sizeOf(oldest->second);
        streams_.erase(oldest);
    }
}

std::optional<PreemptedStream> PreemptedStreams::take(ItemKey const &key, ServerId const &server)
{
    auto const found = streams_.find(key);
    if (found == streams_.end())
        return std::nullopt;
    auto stream = std::move(found->second);
    bytes_ -= sizeOf(stream);
    streams_.erase(found);
    std::erase(insertionOrder_, key);
    if (stream.server != server)
        return std::nullopt;
    return stream;
}

} // namespace Anvilyard::Batch
