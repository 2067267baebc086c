#include "LibBatch/LineSplitter.h"

namespace Anvilyard::Batch {

namespace {

std::string_view withoutCarriageReturn(std::string_view line)
{
    return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

} // namespace

LineSplitter::LineSplitter(std::size_t lineLimitBytes)
    : lineLimitBytes_(lineLimitBytes)
{
}

LineSplitter::State LineSplitter::feed(std::string_view piece, std::function<void(std::string_view)> const &onLine)
{
    while (state_ == State::Good) {
        auto const end = piece.find('\n');
        auto const part = piece.substr(0, end);
        if (partialLine_.size() + part.size() > lineLimitBytes_) {
            state_ = State::LineTooLong;
            break;
        }
        if (end == std::string_view::npos) {
            partialLine_.append(part);
            break;
        }
        if (partialLine_.empty()) {
            onLine(withoutCarriageReturn(part));
        } else {
            partialLine_.append(part);
            onLine(withoutCarriageReturn(partialLine_));
            partialLine_.clear();
        }
        piece.remove_prefix(end + 1);
    }
    return state_;
}

LineSplitter::State LineSplitter::finish(std::function<void(std::string_view)> const &onLine)
{
    if (state_ == State::Good && !partialLine_.empty())
        onLine(withoutCarriageReturn(partialLine_));
    partialLine_.clear();
    return state_;
}

} // namespace Anvilyard::Batch
