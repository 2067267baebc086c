#include "LibObserve/Tracing.h"

#include "LibObserve/JsonLinesTracer.h"
#include "LibObserve/ObserveError.h"

namespace Anvilyard::Observe {

namespace {

class OpenTracingSpan final : public Span
{
public:
    explicit OpenTracingSpan(std::unique_ptr<opentracing::Span> span)
        : span_(std::move(span))
    {
    }

    void tag(std::string_view name, std::string_view value) override
    {
        span_->SetTag({name.data(), name.size()}, std::string(value));
    }

    [[nodiscard]] std::string traceparent() const override
    {
        return static_cast<JsonLinesSpanContext const &>(span_->context()).traceContext().toTraceparent();
    }

    void finish() override
    {
        span_->Finish();
    }

private:
    std::unique_ptr<opentracing::Span> span_;
};

class OpenTracingTracer final : public Tracer
{
public:
    explicit OpenTracingTracer(std::shared_ptr<JsonLinesTracer> tracer)
        : tracer_(std::move(tracer))
    {
    }

    ~OpenTracingTracer() override
    {
        tracer_->Close();
    }

    std::unique_ptr<Span> startSpan(std::string_view operation, std::optional<std::string_view> traceparent) override
    {
        opentracing::string_view const name(operation.data(), operation.size());
        auto const parent = traceparent ? TraceContext::tryParse(*traceparent) : std::nullopt;
        if (!parent)
            return std::make_unique<OpenTracingSpan>(tracer_->StartSpan(name));
        JsonLinesSpanContext const context(*parent);
        return std::make_unique<OpenTracingSpan>(tracer_->StartSpan(name, {opentracing::ChildOf(&context)}));
    }

    void flush() override
    {
        tracer_->Close();
    }

private:
    std::shared_ptr<JsonLinesTracer> tracer_;
};

} // namespace

Result<std::unique_ptr<Tracer>> Tracer::create(TracerOptions options)
{
    std::unique_ptr<std::ofstream> stream;
    if (!options.file.empty()) {
        stream = std::make_unique<std::ofstream>(options.file, std::ios::app);
        if (!*stream)
            return failure(ObserveError::TraceFileUnwritable, options.file);
    }
    return std::make_unique<OpenTracingTracer>(std::make_shared<JsonLinesTracer>(std::move(stream), std::move(options.program)));
}

} // namespace Anvilyard::Observe
