#pragma once

#include "LibHttp/ServerConnection.h"

namespace Anvilyard::Http {

/// The response writer for one exchange of a connection.
class ServerResponseWriter final : public ResponseWriter
{
public:
    ServerResponseWriter(std::shared_ptr<ServerConnection> connection, std::uint64_t exchange);
    ~ServerResponseWriter() override;

    void respond(HttpResponse response) override;
    void start(ResponseHead head) override;
    void write(std::string piece, std::function<void(WriteOutcome)> done) override;
    void finish() override;
    void abort() override;
    void onCallerGone(std::function<void()> callback) override;
    [[nodiscard]] std::size_t pendingBytes() const override;
    void setKeptBytes(std::size_t bytes) override;
    void onKeptTooMuch(std::function<void()> callback) override;
    /// Detaches the writer from the exchange without closing the connection.
    void release();

private:
    std::shared_ptr<ServerConnection> connection_;
    std::uint64_t exchange_;
    bool isEnded_ = false;
};

} // namespace Anvilyard::Http
