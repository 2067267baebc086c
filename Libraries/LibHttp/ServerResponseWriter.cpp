#include "LibHttp/ServerResponseWriter.h"

namespace Anvilyard::Http {

ServerResponseWriter::ServerResponseWriter(std::shared_ptr<ServerConnection> connection, std::uint64_t exchange)
    : connection_(std::move(connection))
    , exchange_(exchange)
{
}

ServerResponseWriter::~ServerResponseWriter()
{
    if (!isEnded_)
        connection_->abort(exchange_);
}

void ServerResponseWriter::respond(HttpResponse response)
{
    isEnded_ = true;
    connection_->respond(exchange_, std::move(response));
}

void ServerResponseWriter::start(ResponseHead head)
{
    connection_->startStream(exchange_, std::move(head));
}

void ServerResponseWriter::write(std::string piece, std::function<void(WriteOutcome)> done)
{
    connection_->write(exchange_, std::move(piece), std::move(done));
}

void ServerResponseWriter::finish()
{
    isEnded_ = true;
    connection_->finish(exchange_);
}

void ServerResponseWriter::abort()
{
    isEnded_ = true;
    connection_->abort(exchange_);
}

void ServerResponseWriter::onCallerGone(std::function<void()> callback)
{
    connection_->onCallerGone(exchange_, std::move(callback));
}

std::size_t ServerResponseWriter::pendingBytes() const
{
    return connection_->pendingBytes();
}

void ServerResponseWriter::setKeptBytes(std::size_t bytes)
{
    connection_->setKeptBytes(exchange_, bytes);
}

void ServerResponseWriter::onKeptTooMuch(std::function<void()> callback)
{
    connection_->onKeptTooMuch(exchange_, std::move(callback));
}

void ServerResponseWriter::release()
{
    isEnded_ = true;
}

} // namespace Anvilyard::Http
