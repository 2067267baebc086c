#include "Services/Entry/AnswerRelay.h"

#include "Services/Entry/ForwardedHeaders.h"

namespace Anvilyard::Entry {

AnswerRelay::AnswerRelay(OnlineRequestPointer request)
    : request_(std::move(request))
{
}

void AnswerRelay::start(Http::ResponseHead const &head)
{
    isStarted_ = true;
    request_->isAnswered = true;
    if (request_->span)
        request_->span->tag("status", std::to_string(head.status));
    request_->writer->start({.status = head.status, .headers = toCallerHeaders(*request_, head.headers)});
}

bool AnswerRelay::isStarted() const
{
    return isStarted_;
}

void AnswerRelay::setSource(std::shared_ptr<Http::Exchange> source)
{
    source_ = std::move(source);
    if (source_ && flow_ == Flow::Paused)
        source_->pause();
}

void AnswerRelay::write(std::string piece)
{
    request_->writer->write(std::move(piece), [self = shared_from_this()](Http::WriteOutcome outcome) { self->onWritten(outcome); });
    if (flow_ == Flow::Running && source_ && request_->writer->pendingBytes() > PauseAboveBytes) {
        flow_ = Flow::Paused;
        source_->pause();
    }
}

void AnswerRelay::onWritten(Http::WriteOutcome outcome)
{
    // A disconnected caller is also reported by onCallerGone.
    if (outcome == Http::WriteOutcome::CallerGone || flow_ == Flow::Running)
        return;
    if (request_->writer->pendingBytes() > ResumeBelowBytes)
        return;
    flow_ = Flow::Running;
    if (source_)
        source_->resume();
}

void AnswerRelay::finish()
{
    request_->writer->finish();
}

void AnswerRelay::breakOffWithEvent(Http::Refusal const &refusal)
{
    auto const writer = request_->writer;
    writer->write("data: " + Http::toJson(refusal) + "\n\n", [writer](Http::WriteOutcome) { writer->abort(); });
}

void AnswerRelay::abort()
{
    request_->writer->abort();
}

} // namespace Anvilyard::Entry
