#include "LibHttp/BodySegments.h"

#include <algorithm>

namespace Anvilyard::Http {

namespace {

constexpr std::size_t MinSegmentBytes = 4 * 1024;
constexpr std::size_t MaxSegmentBytes = 64 * 1024;

} // namespace

std::span<char> BodySegments::prepare()
{
    if (segments_.empty() || lastUsed_ == segments_.back().size()) {
        segments_.emplace_back(std::clamp(size_, MinSegmentBytes, MaxSegmentBytes), '\0');
        capacity_ += segments_.back().size();
        lastUsed_ = 0;
    }
    return std::span(segments_.back()).subspan(lastUsed_);
}

void BodySegments::commit(std::size_t bytes)
{
    lastUsed_ += bytes;
    size_ += bytes;
}

std::size_t BodySegments::size() const
{
    return size_;
}

std::size_t BodySegments::capacity() const
{
    return capacity_;
}

void BodySegments::clear()
{
    *this = {};
}

std::string BodySegments::take()
{
    if (!segments_.empty())
        segments_.back().resize(lastUsed_);
    std::string body;
    if (segments_.size() == 1) {
        body = std::move(segments_.front());
    } else {
        body.reserve(size_);
        // Each segment is freed once it is copied, so that both do not exist in full at the same time.
        for (auto &segment : segments_) {
            body += segment;
            segment = {};
        }
    }
    clear();
    return body;
}

} // namespace Anvilyard::Http
