#pragma once

#include "LibCore/Result.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Observe {

/// A span for one hop of a request, based on OpenTracing and propagated by the W3C `traceparent` header. It is finished on
/// destruction.
class Span
{
public:
    virtual ~Span() = default;
    virtual void tag(std::string_view name, std::string_view value) = 0;
    /// Returns the `traceparent` value for the next hop.
    [[nodiscard]] virtual std::string traceparent() const = 0;
    virtual void finish() = 0;
};

struct TracerOptions {
    /// File to which a JSON line is written for each finished span. If empty, no spans are recorded but the context is still
    /// propagated.
    std::string file;
    /// Program name recorded with each span.
    std::string program;
};

/// Safe from any thread.
class Tracer
{
public:
    static Result<std::unique_ptr<Tracer>> create(TracerOptions options);
    virtual ~Tracer() = default;
    /// Starts a span that continues the caller's `traceparent`, or a new trace if it is missing or malformed.
    virtual std::unique_ptr<Span> startSpan(std::string_view operation, std::optional<std::string_view> traceparent) = 0;
    /// Writes the buffered spans.
    virtual void flush() = 0;
};

} // namespace Anvilyard::Observe
