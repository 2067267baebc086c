#pragma once

#include "LibCore/Ids.h"
#include "LibHttp/HttpServer.h"

#include <functional>
#include <memory>

namespace Anvilyard::Entry {

/// A response writer that adds the request id to every answer, for components that write answers themselves.
class TaggedWriter final : public Http::ResponseWriter
{
public:
    TaggedWriter(std::shared_ptr<Http::ResponseWriter> writer, RequestId id);

    /// Extends the lifetime of an object, such as the request with its span, to that of the writer.
    void keepAlive(std::shared_ptr<void> object);

    void respond(Http::HttpResponse response) override;
    void start(Http::ResponseHead head) override;
    void write(std::string piece, std::function<void(Http::WriteOutcome)> done) override;
    void finish() override;
    void abort() override;
    void onCallerGone(std::function<void()> callback) override;
    [[nodiscard]] std::size_t pendingBytes() const override;

private:
    std::shared_ptr<Http::ResponseWriter> writer_;
    RequestId id_;
    std::shared_ptr<void> keptAlive_;
};

} // namespace Anvilyard::Entry
