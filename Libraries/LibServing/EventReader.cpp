#include "LibServing/EventReader.h"

#include <charconv>

namespace Anvilyard::Serving {

namespace {

struct EventFields {
    std::optional<std::uint64_t> id;
    std::string data;
    bool hasData = false;
    /// Whether it has no field of an event, as a comment has none.
    bool isComment = true;
};

std::string_view valueOf(std::string_view line, std::size_t nameLength)
{
    line.remove_prefix(nameLength + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

EventFields parse(std::string_view event)
{
    EventFields fields;
    while (!event.empty()) {
        auto const end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(event.size(), end + 1));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty() && !line.starts_with(':'))
            fields.isComment = false;
        if (line.starts_with("id:")) {
            auto const text = valueOf(line, 2);
            std::uint64_t id = 0;
            auto const [last, error] = std::from_chars(text.data(), text.data() + text.size(), id);
            if (error == std::errc{} && last == text.data() + text.size())
                fields.id = id;
        } else if (line.starts_with("data:")) {
            if (fields.hasData)
                fields.data += '\n';
            fields.data += valueOf(line, 4);
            fields.hasData = true;
        }
    }
    return fields;
}

} // namespace

EventReader::EventReader(EventSequence &sequence)
    : sequence_(sequence)
{
}

std::string EventReader::take(std::string_view piece, OnData const &onData)
{
    std::string newEvents;
    splitter_.take(piece, [&](std::string_view event, std::string_view withEnd) {
        if (isBroken_)
            return;
        auto const fields = parse(event);
        bytesSinceNewEvent_ += withEnd.size();
        if (fields.isComment) {
            newEvents += withEnd;
            isBroken_ = bytesSinceNewEvent_ > MaxEventBytes;
            return;
        }
        if (!fields.id && !fields.hasData) {
            isBroken_ = true;
            return;
        }
        auto const order = sequence_.advance(fields.id);
        if (order != EventSequence::Order::Next) {
            isBroken_ = order != EventSequence::Order::Repeated || bytesSinceNewEvent_ > MaxEventBytes;
            return;
        }
        bytesSinceNewEvent_ = 0;
        newEvents += withEnd;
        if (onData)
            onData(fields.data);
    });
    if (splitter_.unfinishedBytes() > MaxEventBytes)
        isBroken_ = true;
    return newEvents;
}

bool EventReader::isBroken() const
{
    return isBroken_;
}

bool EventReader::hasPartialEvent() const
{
    return unfinishedBytes() > 0;
}

std::size_t EventReader::unfinishedBytes() const
{
    return splitter_.unfinishedBytes();
}

} // namespace Anvilyard::Serving
