#include "LibHttp/EventSplitter.h"

namespace Anvilyard::Http {

namespace {

struct EventEnd {
    std::size_t position = std::string::npos;
    std::size_t length = 0;
};

/// Finds the empty line that ends an event. Its line end and the one before it may be of different kinds.
EventEnd findEventEnd(std::string_view text, std::size_t from)
{
    for (auto lineEnd = text.find('\n', from); lineEnd != std::string::npos; lineEnd = text.find('\n', lineEnd + 1)) {
        auto const rest = text.substr(lineEnd + 1);
        std::size_t const emptyLine = rest.starts_with('\n') ? 1 : rest.starts_with("\r\n") ? 2 : 0;
        if (emptyLine == 0)
            continue;
        std::size_t const carriage = lineEnd > 0 && text[lineEnd - 1] == '\r' ? 1 : 0;
        return {.position = lineEnd - carriage, .length = carriage + 1 + emptyLine};
    }
    return {};
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
