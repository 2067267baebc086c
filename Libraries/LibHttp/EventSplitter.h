#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Anvilyard::Http {

/// Splits the server-sent events of one response into complete events. Each response needs a splitter of its own, because bytes of an
/// incomplete event must not be joined with those of another response.
class EventSplitter
{
public:
    /// Called for each completed event, without and with the empty line that ends it.
    using OnEvent = std::function<void(std::string_view event, std::string_view withEnd)>;

    /// Adds a piece of the stream and returns the bytes of the events that it completes, unchanged.
    std::string take(std::string_view piece, OnEvent const &onEvent);
    /// Number of bytes received of the unfinished event.
    [[nodiscard]] std::size_t unfinishedBytes() const;

private:
    std::string unfinished_;
};

} // namespace Anvilyard::Http
