#pragma once

#include "LibHttp/EventSplitter.h"
#include "Services/Entry/AnswerRelay.h"
#include "Services/Entry/CompletionProgress.h"
#include "Services/Entry/InFlightGuard.h"
#include "Services/Entry/ThreadContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Entry {

/// Forwards one request to backend servers and relays the answer to the caller. Chooses the server, retries where that is safe and
/// resumes broken streams.
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    BackendCall(ThreadContext &context, OnlineRequestPointer request);

    void start();
    /// Aborts the call because the thread is ending.
    void abandon();

private:
    /// One exchange with a server and what its response has brought so far. Nothing of it is used for the next exchange.
    struct Attempt {
        std::unique_ptr<InFlightGuard> inFlight;
        std::shared_ptr<Http::Exchange> exchange;
        std::unique_ptr<Observe::Span> span;
        Http::ResponseHead head;
        Http::EventSplitter events;
        /// The part of the answer that is buffered and not yet relayed.
        std::string body;
        enum class Purpose {
            Run,
            Resume,
        } purpose = Purpose::Run;
        std::uint64_t number = 0;
    };

    void sendToNextServer();
    void send(Fleet::BackendServer const &server, Http::ClientRequest::Connection connection);
    void sendResume();
    void exchange(Http::ClientRequest request);
    [[nodiscard]] Http::ClientRequest clientRequest(Fleet::BackendServer const &server, Http::HttpRequest request) const;

    void onHead(Http::ResponseHead head);
    void onPiece(std::string_view piece);
    void onEnd();
    void onFailure(Http::ExchangeFailure const &failure);

    [[nodiscard]] bool isEventStream() const;
    [[nodiscard]] bool isErrorAnswer() const;
    void relayEvents(std::string_view piece);
    void relayPlain(std::string_view piece);
    void startRelay();
    void recordFirstPiece();

    void onAttemptEnd(Routing::AttemptEnd const &end);
    [[nodiscard]] Routing::NextStep affordableStep(Routing::NextStep step);
    void performStep(Routing::NextStep step);
    void relayCompleteAnswer();
    void refuse();
    void breakOff();
    void onCallerGone();
    /// Ends the call. `answer` completes the answer to the caller. It is called at once, or by `onCallResult` if that is set.
    void end(CallResult result, std::function<void()> answer);

    static constexpr std::size_t MaxBufferedBytes = 256 * 1024;
    static constexpr std::size_t MaxEventBytes = 1024 * 1024;
    static constexpr std::size_t MaxAttempts = 4;

    ThreadContext &context_;
    OnlineRequestPointer request_;
    std::shared_ptr<AnswerRelay> relay_;
    CompletionProgress progress_;
    Attempt attempt_;
    std::vector<ServerId> tried_;
    std::uint64_t attempts_ = 0;
    /// Stays MayHaveRun once any attempt may have run.
    Http::RunState runState_ = Http::RunState::NotRun;
    /// Whether the last attempt ended with a complete error answer that is also valid for the request as a whole.
    bool hasRelayableAnswer_ = false;
    bool isFinished_ = false;
};

} // namespace Anvilyard::Entry
