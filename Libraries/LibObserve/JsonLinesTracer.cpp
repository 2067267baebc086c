#include "LibObserve/JsonLinesTracer.h"

#include "LibCore/Random.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Anvilyard::Observe {

namespace {

constexpr char const *TraceparentName = "traceparent";

std::string toText(opentracing::Value const &value)
{
    if (value.is<std::string>())
        return value.get<std::string>();
    if (value.is<char const *>())
        return value.get<char const *>();
    if (value.is<bool>())
        return value.get<bool>() ? "true" : "false";
    if (value.is<double>())
        return std::to_string(value.get<double>());
    if (value.is<std::int64_t>())
        return std::to_string(value.get<std::int64_t>());
    if (value.is<std::uint64_t>())
        return std::to_string(value.get<std::uint64_t>());
    return {};
}

class JsonLinesSpan final : public opentracing::Span
{
public:
    JsonLinesSpan(std::shared_ptr<JsonLinesTracer const> tracer, JsonLinesTracer::FinishedSpan span, opentracing::SteadyTime started)
        : tracer_(std::move(tracer))
        , span_(std::move(span))
        , context_(span_.context)
        , started_(started)
    {
    }

    ~JsonLinesSpan() override
    {
        Finish();
    }

    void FinishWithOptions(opentracing::FinishSpanOptions const &options) noexcept override
    {
        if (std::exchange(finished_, true))
            return;
        span_.duration = options.finish_steady_timestamp - started_;
        tracer_->record(span_);
    }

    void SetOperationName(opentracing::string_view name) noexcept override
    {
        span_.operation = name;
    }

    void SetTag(opentracing::string_view key, opentracing::Value const &value) noexcept override
    {
        span_.tags[key] = toText(value);
    }

    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override
    {
        // NOTE: The W3C trace context has no baggage, and this project sets none.
    }

    [[nodiscard]] std::string BaggageItem(opentracing::string_view) const noexcept override
    {
        return {};
    }

    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override
    {
        for (auto const &[key, value] : fields)
            SetTag(key, value);
    }

    void Log(opentracing::SystemTime,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override
    {
        Log(fields);
    }

    void Log(opentracing::SystemTime, std::vector<std::pair<opentracing::string_view, opentracing::Value>> const &fields) noexcept override
    {
        for (auto const &[key, value] : fields)
            SetTag(key, value);
    }

    [[nodiscard]] opentracing::SpanContext const &context() const noexcept override
    {
        return context_;
    }

    [[nodiscard]] opentracing::Tracer const &tracer() const noexcept override
    {
        return *tracer_;
    }

private:
    std::shared_ptr<JsonLinesTracer const> tracer_;
    JsonLinesTracer::FinishedSpan span_;
    JsonLinesSpanContext context_;
    opentracing::SteadyTime started_;
    bool finished_ = false;
};

} // namespace

JsonLinesSpanContext::JsonLinesSpanContext(TraceContext context)
    : context_(context)
{
}

void JsonLinesSpanContext::ForeachBaggageItem(std::function<bool(std::string const &, std::string const &)>) const { }

std::unique_ptr<opentracing::SpanContext> JsonLinesSpanContext::Clone() const noexcept
{
    return std::make_unique<JsonLinesSpanContext>(context_);
}

std::string JsonLinesSpanContext::ToTraceID() const noexcept
{
    return context_.traceIdText();
}

std::string JsonLinesSpanContext::ToSpanID() const noexcept
{
    return context_.spanIdText();
}

TraceContext const &JsonLinesSpanContext::traceContext() const
{
    return context_;
}

JsonLinesTracer::JsonLinesTracer(std::unique_ptr<std::ofstream> stream, std::string program)
    : stream_(std::move(stream))
    , program_(std::move(program))
    , random_(seedFromSystem())
{
}

std::unique_ptr<opentracing::Span> JsonLinesTracer::StartSpanWithOptions(opentracing::string_view operation,
                                                                         opentracing::StartSpanOptions const &options) const noexcept
{
    FinishedSpan span;
    span.operation = operation;
    span.started = opentracing::SystemClock::now();
    span.context.span = drawId();
    for (auto const &[key, value] : options.tags)
        span.tags[key] = toText(value);
    for (auto const &[kind, reference] : options.references) {
        auto const *parent = dynamic_cast<JsonLinesSpanContext const *>(reference);
        if (!parent)
            continue;
        span.context.traceHigh = parent->traceContext().traceHigh;
        span.context.traceLow = parent->traceContext().traceLow;
        span.context.flags = parent->traceContext().flags;
        span.parent = parent->traceContext().span;
        break;
    }
    if (span.context.traceHigh == 0 && span.context.traceLow == 0) {
        span.context.traceHigh = drawId();
        span.context.traceLow = drawId();
    }
    return std::make_unique<JsonLinesSpan>(shared_from_this(), std::move(span), opentracing::SteadyClock::now());
}

opentracing::expected<void> JsonLinesTracer::Inject(opentracing::SpanContext const &, std::ostream &) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<void> JsonLinesTracer::Inject(opentracing::SpanContext const &context, opentracing::TextMapWriter const &writer) const
{
    auto const *spanContext = dynamic_cast<JsonLinesSpanContext const *>(&context);
    if (!spanContext)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    return writer.Set(TraceparentName, spanContext->traceContext().toTraceparent());
}

opentracing::expected<void> JsonLinesTracer::Inject(opentracing::SpanContext const &context,
                                                    opentracing::HTTPHeadersWriter const &writer) const
{
    return Inject(context, static_cast<opentracing::TextMapWriter const &>(writer));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonLinesTracer::Extract(std::istream &) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonLinesTracer::Extract(opentracing::TextMapReader const &reader) const
{
    std::unique_ptr<opentracing::SpanContext> found;
    auto const visited =
        reader.ForeachKey([&](opentracing::string_view key, opentracing::string_view value) -> opentracing::expected<void> {
            if (std::string_view(key.data(), key.size()) != TraceparentName)
                return {};
            if (auto const context = TraceContext::tryParse({value.data(), value.size()}))
                found = std::make_unique<JsonLinesSpanContext>(*context);
            return {};
        });
    if (!visited)
        return opentracing::make_unexpected(visited.error());
    return found;
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
JsonLinesTracer::Extract(opentracing::HTTPHeadersReader const &reader) const
{
    return Extract(static_cast<opentracing::TextMapReader const &>(reader));
}

void JsonLinesTracer::Close() noexcept
{
    std::lock_guard const guard(mutex_);
    if (stream_)
        stream_->flush();
}

void JsonLinesTracer::record(FinishedSpan const &span) const
{
    if (!stream_)
        return;
    boost::json::object line;
    line["program"] = program_;
    line["operation"] = span.operation;
    line["trace_id"] = span.context.traceIdText();
    line["span_id"] = span.context.spanIdText();
    if (span.parent != 0)
        line["parent_span_id"] = TraceContext{.span = span.parent}.spanIdText();
    line["start_unix_nanoseconds"] = std::chrono::duration_cast<std::chrono::nanoseconds>(span.started.time_since_epoch()).count();
    line["duration_nanoseconds"] = span.duration.count();
    auto &tags = line["tags"].emplace_object();
    for (auto const &[key, value] : span.tags)
        tags[key] = value;
    auto const text = boost::json::serialize(line);
    std::lock_guard const guard(mutex_);
    *stream_ << text << '\n';
}

std::uint64_t JsonLinesTracer::drawId() const
{
    std::lock_guard const guard(mutex_);
    std::uint64_t id = 0;
    while (id == 0)
        id = random_();
    return id;
}

} // namespace Anvilyard::Observe
