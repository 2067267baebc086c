#include "LibServing/EventSequence.h"

#include <charconv>

namespace Anvilyard::Serving {

namespace {

struct EventFields {
    std::optional<std::uint64_t> id;
    std::string data;
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
    bool hasData = false;
    while (!event.empty()) {
        auto const end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(event.size(), end + 1));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with("id:")) {
            auto const text = valueOf(line, 2);
            std::uint64_t id = 0;
            auto const [last, error] = std::from_chars(text.data(), text.data() + text.size(), id);
            if (error == std::errc{} && last == text.data() + text.size())
                fields.id = id;
        } else if (line.starts_with("data:")) {
            if (hasData)
                fields.data += '\n';
            fields.data += valueOf(line, 4);
            hasData = true;
        }
    }
    return fields;
}

} // namespace

EventSequence::EventSequence(std::optional<std::uint64_t> lastId)
    : lastId_(lastId)
    , isOrderEnforced_(lastId.has_value())
{
}

std::string EventSequence::take(std::string_view piece, OnData const &onData)
{
    std::string newEvents;
    splitter_.take(piece, [&](std::string_view event, std::string_view withEnd) {
        if (isBroken_ || !acceptEvent(event, onData))
            return;
        newEvents += withEnd;
    });
    if (splitter_.unfinishedBytes() > MaxEventBytes)
        isBroken_ = true;
    return newEvents;
}

bool EventSequence::acceptEvent(std::string_view event, OnData const &onData)
{
    auto const fields = parse(event);
    if (fields.id && isOrderEnforced_ && lastId_) {
        if (*fields.id <= *lastId_)
            return false;
        if (*fields.id != *lastId_ + 1) {
            isBroken_ = true;
            return false;
        }
    }
    if (fields.id) {
        lastId_ = fields.id;
        isOrderEnforced_ = true;
    }
    ++count_;
    if (onData)
        onData(fields.data);
    return true;
}

void EventSequence::onResumed()
{
    splitter_.dropUnfinished();
}

std::optional<std::uint64_t> EventSequence::lastId() const
{
    return lastId_;
}

std::uint64_t EventSequence::count() const
{
    return count_;
}

bool EventSequence::isBroken() const
{
    return isBroken_;
}

bool EventSequence::hasPartialEvent() const
{
    return unfinishedBytes() > 0;
}

std::size_t EventSequence::unfinishedBytes() const
{
    return splitter_.unfinishedBytes();
}

} // namespace Anvilyard::Serving
