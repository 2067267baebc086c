#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Observe {

/// The W3C trace context, transmitted in `traceparent`.
struct TraceContext {
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    std::uint8_t flags = 1;

    /// Parses "00-<32 hex>-<16 hex>-<2 hex>". Returns `std::nullopt` if it is malformed or the trace id or span id is zero.
    static std::optional<TraceContext> tryParse(std::string_view traceparent);
    [[nodiscard]] std::string toTraceparent() const;
    [[nodiscard]] std::string traceIdText() const;
    [[nodiscard]] std::string spanIdText() const;
};

} // namespace Anvilyard::Observe
