#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Anvilyard::Http {

/// Cuts a stream of server-sent events at the ends of events.
class EventSplitter
{
public:
    /// Called with each event that is whole now, without and with the empty line that ends it.
    using OnEvent = std::function<void(std::string_view event, std::string_view withEnd)>;

    /// Returns the events that are whole now, byte for byte as they came.
    std::string take(std::string_view piece, OnEvent const &onEvent);
    /// After a break: what came of an unfinished event is dropped, since a resumed stream sends it again.
    void dropUnfinished();
    /// Bytes of an event that is not whole yet.
    [[nodiscard]] std::size_t unfinishedBytes() const;

private:
    std::string unfinished_;
};

} // namespace Anvilyard::Http
