#pragma once

#include "LibJobs/JobTracker.h"
#include "LibServing/EventReader.h"
#include "Services/Node/HealthProber.h"
#include "Services/Node/NodeContext.h"

namespace Anvilyard::Node {

/// What an item has from its job.
struct ItemOrigin {
    std::string host;
    /// As in AttemptParameters.
    std::optional<CustomerId> customer;
};

/// Returns what may be the cause if a server crashes while it runs the item.
Serving::RequestSuspects suspectsOf(NodeContext const &context, Jobs::JobItem const &item, ItemOrigin const &origin);

/// One attempt to run a batch item at a server.
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    struct Hooks {
        /// Returns whether the item's output is within its limit.
        std::function<bool(std::optional<std::uint64_t> eventId, std::string_view data)> onEvent;
        /// Called when the server has begun to answer the item, and when it has answered all of it.
        std::function<void()> onAnswered;
        /// Called before onEnd if the exchange broke.
        std::function<void()> onBroken;
        /// Called once unless cancelled.
        std::function<void(Jobs::SendEnd)> onEnd;
    };

    ItemRun(NodeContext &context, HealthProber &health, Serving::ServerRecord server, Jobs::ItemStart item, Hooks hooks);

    /// Occupies a place at the server until start().
    void reserve();
    void start(Jobs::JobItem const &item, ItemOrigin const &origin);
    /// Ends the run without calling a hook again.
    void cancel();

    [[nodiscard]] Serving::ServerRecord const &server() const;
    [[nodiscard]] Jobs::ItemStart const &item() const;
    [[nodiscard]] Instant startedAt() const;
    /// Whether the item may have reached the server.
    [[nodiscard]] bool isSent() const;
    /// Whether the head of a response has arrived.
    [[nodiscard]] bool hasResponse() const;
    /// Whether the item is one of few sends that it may get, so that the run should not be ended without an answer.
    [[nodiscard]] bool isSentWithCare() const;

private:
    void send(Jobs::JobItem const &item, ItemOrigin const &origin);
    void onSending();
    /// Gives a trial back that was not sent.
    void returnTrial();
    void onHead(Http::ResponseHead const &head);
    void onPiece(std::string_view piece);
    void onResponseEnd();
    void onFailure(Http::ExchangeFailure const &failure);
    /// Records a response that ended with its connection before the server had answered the item, as when it crashes.
    void recordLoss(Http::ExchangeFailure const &failure);
    /// Ends a run whose response is not complete or not valid.
    void fail(Error const &error, Jobs::SendEnd end = Jobs::SendEnd::Unserved);
    void logRejection() const;
    void finish(Jobs::SendEnd end);

    NodeContext &context_;
    HealthProber &health_;
    Serving::ServerRecord server_;
    Jobs::ItemStart item_;
    Jobs::ItemId itemId_;
    Serving::RequestSuspects suspects_;
    Hooks hooks_;
    Serving::EventSequence sequence_;
    Serving::EventReader events_;
    std::shared_ptr<Http::Exchange> exchange_;
    Instant startedAt_;
    /// Time from which this run counts as the trial of a suspect after the end of its quarantine; unset for other runs.
    std::optional<WallInstant> trialAt_;
    bool isReserved_ = false;
    bool isSent_ = false;
    int status_ = 0;
    bool isEnded_ = false;
};

} // namespace Anvilyard::Node
