#include "Services/Entry/TaggedWriter.h"

namespace Anvilyard::Entry {

TaggedWriter::TaggedWriter(std::shared_ptr<Http::ResponseWriter> writer, RequestId id)
    : writer_(std::move(writer))
    , id_(std::move(id))
{
}

void TaggedWriter::keepAlive(std::shared_ptr<void> object)
{
    keptAlive_ = std::move(object);
}

void TaggedWriter::respond(Http::HttpResponse response)
{
    response.headers.set("X-Request-Id", id_.value());
    writer_->respond(std::move(response));
}

void TaggedWriter::start(Http::ResponseHead head)
{
    head.headers.set("X-Request-Id", id_.value());
    writer_->start(std::move(head));
}

void TaggedWriter::write(std::string piece, std::function<void(Http::WriteOutcome)> done)
{
    writer_->write(std::move(piece), std::move(done));
}

void TaggedWriter::finish()
{
    writer_->finish();
}

void TaggedWriter::abort()
{
    writer_->abort();
}

void TaggedWriter::onCallerGone(std::function<void()> callback)
{
    writer_->onCallerGone(std::move(callback));
}

std::size_t TaggedWriter::pendingBytes() const
{
    return writer_->pendingBytes();
}

} // namespace Anvilyard::Entry
