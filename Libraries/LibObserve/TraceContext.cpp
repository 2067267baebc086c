#include "LibObserve/TraceContext.h"

#include <charconv>
#include <cstdio>

namespace Anvilyard::Observe {

namespace {

constexpr std::size_t TraceparentLength = 55;

template<typename Value>
std::optional<Value> parseHex(std::string_view text)
{
    // The standard allows only lower case; from_chars also accepts upper case.
    if (text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return std::nullopt;
    Value value{};
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string toHex(std::uint64_t value)
{
    std::string text(17, '\0');
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    text.pop_back();
    return text;
}

} // namespace

std::optional<TraceContext> TraceContext::tryParse(std::string_view traceparent)
{
    if (traceparent.size() != TraceparentLength || traceparent.substr(0, 3) != "00-" || traceparent[35] != '-' || traceparent[52] != '-')
        return std::nullopt;
    auto const high = parseHex<std::uint64_t>(traceparent.substr(3, 16));
    auto const low = parseHex<std::uint64_t>(traceparent.substr(19, 16));
    auto const span = parseHex<std::uint64_t>(traceparent.substr(36, 16));
    auto const flags = parseHex<std::uint8_t>(traceparent.substr(53, 2));
    if (!high || !low || !span || !flags)
        return std::nullopt;
    if ((*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return TraceContext{.traceHigh = *high, .traceLow = *low, .span = *span, .flags = *flags};
}

std::string TraceContext::toTraceparent() const
{
    std::string flagsText(3, '\0');
    std::snprintf(flagsText.data(), flagsText.size(), "%02x", flags);
    flagsText.pop_back();
    return "00-" + traceIdText() + "-" + spanIdText() + "-" + flagsText;
}

std::string TraceContext::traceIdText() const
{
    return toHex(traceHigh) + toHex(traceLow);
}

std::string TraceContext::spanIdText() const
{
    return toHex(span);
}

} // namespace Anvilyard::Observe
