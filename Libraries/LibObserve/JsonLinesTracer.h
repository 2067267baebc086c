#pragma once

#include "LibObserve/TraceContext.h"

#include <atomic>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <opentracing/tracer.h>
#include <random>
#include <string>

namespace Anvilyard::Observe {

/// OpenTracing span context with W3C ids and without baggage.
class JsonLinesSpanContext final : public opentracing::SpanContext
{
public:
    explicit JsonLinesSpanContext(TraceContext context);

    void ForeachBaggageItem(std::function<bool(std::string const &, std::string const &)> visit) const override;
    [[nodiscard]] std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
    [[nodiscard]] std::string ToTraceID() const noexcept override;
    [[nodiscard]] std::string ToSpanID() const noexcept override;
    [[nodiscard]] TraceContext const &traceContext() const;

private:
    TraceContext context_;
};

/// An OpenTracing tracer that writes each finished span as a JSON line and propagates the context as `traceparent`.
class JsonLinesTracer final
    : public opentracing::Tracer
    , public std::enable_shared_from_this<JsonLinesTracer>
{
public:
    /// With a null stream nothing is recorded.
    JsonLinesTracer(std::unique_ptr<std::ofstream> stream, std::string program);

    [[nodiscard]] std::unique_ptr<opentracing::Span>
    StartSpanWithOptions(opentracing::string_view operation, opentracing::StartSpanOptions const &options) const noexcept override;
    opentracing::expected<void> Inject(opentracing::SpanContext const &context, std::ostream &writer) const override;
    opentracing::expected<void> Inject(opentracing::SpanContext const &context, opentracing::TextMapWriter const &writer) const override;
    opentracing::expected<void> Inject(opentracing::SpanContext const &context,
                                       opentracing::HTTPHeadersWriter const &writer) const override;
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream &reader) const override;
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(opentracing::TextMapReader const &reader) const override;
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(opentracing::HTTPHeadersReader const &reader) const override;
    void Close() noexcept override;

    /// The recorded data of a finished span.
    struct FinishedSpan {
        TraceContext context;
        std::uint64_t parent = 0;
        std::string operation;
        opentracing::SystemTime started;
        std::chrono::nanoseconds duration{0};
        std::map<std::string, std::string> tags;
    };
    void record(FinishedSpan const &span) const;

private:
    [[nodiscard]] std::uint64_t drawId() const;

    mutable std::mutex mutex_;
    std::unique_ptr<std::ofstream> stream_;
    std::string program_;
    mutable std::mt19937_64 random_;
};

} // namespace Anvilyard::Observe
