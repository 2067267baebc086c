#include "LibHttp/EventSplitter.h"

namespace Anvilyard::Http {

namespace {

struct EventEnd {
    std::size_t position = std::string::npos;
    std::size_t length = 0;
};

/// Finds the empty line that ends an event, for both kinds of line endings.
EventEnd findEventEnd(std::string_view text, std::size_t from)
{
    auto const plain = text.find("\n\n", from);
    auto const carriage = text.find("\r\n\r\n", from);
    if (carriage < plain)
        return {.position = carriage, .length = 4};
    return {.position = plain, .length = 2};
}

} // namespace

std::string EventSplitter::take(std::string_view piece, OnEvent const &onEvent)
{
    // The end of an event may be split across two pieces.
    std::size_t const searchFrom = unfinished_.size() < 3 ? 0 : unfinished_.size() - 3;
    unfinished_ += piece;
    std::size_t begin = 0;
    for (auto end = findEventEnd(unfinished_, searchFrom); end.position != std::string::npos; end = findEventEnd(unfinished_, begin)) {
        auto const next = end.position + end.length;
        std::string_view const complete = unfinished_;
        onEvent(complete.substr(begin, end.position - begin), complete.substr(begin, next - begin));
        begin = next;
    }
    auto complete = unfinished_.substr(0, begin);
    unfinished_.erase(0, begin);
    return complete;
}

std::size_t EventSplitter::unfinishedBytes() const
{
    return unfinished_.size();
}

} // namespace Anvilyard::Http
