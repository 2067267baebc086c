#pragma once

#include "LibHttp/HttpClient.h"
#include "Services/Entry/OnlineRequest.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilyard::Entry {

/// Writes one streamed answer to the caller. Pauses the exchange with the backend server while the caller is slow, which bounds
/// memory.
class AnswerRelay : public std::enable_shared_from_this<AnswerRelay>
{
public:
    explicit AnswerRelay(OnlineRequestPointer request);

    void start(Http::ResponseHead const &head);
    [[nodiscard]] bool isStarted() const;
    /// Sets the exchange that delivers the pieces. It changes when a stream is resumed.
    void setSource(std::shared_ptr<Http::Exchange> source);
    void write(std::string piece);
    void finish();
    /// Ends an event stream with an error event and then aborts the connection, so that the caller cannot mistake the stream for a
    /// complete one.
    void breakOffWithEvent(Http::Refusal const &refusal);
    void abort();

private:
    void onWritten(Http::WriteOutcome outcome);

    static constexpr std::size_t PauseAboveBytes = 128 * 1024;
    static constexpr std::size_t ResumeBelowBytes = 32 * 1024;

    enum class Flow {
        Running,
        Paused,
    };

    OnlineRequestPointer request_;
    std::shared_ptr<Http::Exchange> source_;
    bool isStarted_ = false;
    Flow flow_ = Flow::Running;
};

} // namespace Anvilyard::Entry
