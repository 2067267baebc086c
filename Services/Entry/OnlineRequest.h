#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpServer.h"
#include "LibHttp/Refusal.h"
#include "LibObserve/Tracing.h"
#include "LibRouting/PromptPrefix.h"
#include "LibRouting/RetryPolicy.h"
#include "LibRules/RuleSet.h"
#include "Services/Entry/EntryView.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Entry {

enum class AnswerForm {
    /// An answer relayed as the server sent it.
    Plain,
    /// Server-sent events that end in "data: [DONE]".
    EventStream,
};

/// How the call to the backend servers ended.
struct CallResult {
    enum class Kind {
        /// The caller gets a complete answer of a server. `response` contains it if it was small enough to be buffered.
        Answered,
        /// The request was refused; `runState` states whether it may have run.
        Refused,
        /// The answer was aborted after a part of it was relayed, the caller disconnected, or the thread ended.
        BrokenOff,
    } kind = Kind::BrokenOff;
    Http::RunState runState = Http::RunState::MayHaveRun;
    std::optional<Http::HttpResponse> response;
};

/// One request while it is processed by the filters. Used on one traffic thread only.
struct OnlineRequest {
    RequestId id;
    Http::HttpRequest http;
    std::shared_ptr<Http::ResponseWriter> writer;
    std::unique_ptr<Observe::Span> span;
    /// The view of the fleet that is used for all decisions about this request.
    std::shared_ptr<EntryView const> view;
    Instant arrivedAt;
    Instant deadline;

    CustomerId customer;
    ServiceName service;
    Rules::PoolKind kind = Rules::PoolKind::ModelEngine;
    Rules::RouteRule route;
    /// Model and version as engines name them; empty for plain services.
    std::string engineModel;
    /// Path and query for the backend server.
    std::string backendTarget;
    AnswerForm answerForm = AnswerForm::Plain;
    Routing::Repeatability repeatability = Routing::Repeatability::Unsafe;
    std::optional<Routing::PromptPrefix> prefix;
    std::string idempotencyKey;

    /// Set by the first answer; later answers are ignored.
    bool isAnswered = false;
    bool isRefused = false;
    /// Number of tokens relayed, as counted in the stream or reported by the engine.
    std::uint64_t tokens = 0;
    /// Called once with the result of the call to the backend servers. Has to call `answer` to complete the answer to the caller.
    std::function<void(CallResult, std::function<void()> answer)> onCallResult;
    /// Called once when the request is destroyed, whatever its result.
    std::vector<std::function<void()>> endCallbacks;

    OnlineRequest() = default;
    OnlineRequest(OnlineRequest const &) = delete;
    OnlineRequest &operator=(OnlineRequest const &) = delete;
    ~OnlineRequest();

    /// Answers at once with a refusal.
    void refuse(Http::Refusal const &refusal);
    void respond(Http::HttpResponse response);
    /// Adds the headers that every answer carries.
    void addEntryHeaders(Http::Headers &headers) const;
};

using OnlineRequestPointer = std::shared_ptr<OnlineRequest>;

} // namespace Anvilyard::Entry
