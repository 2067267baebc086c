#pragma once

#include "LibHttp/HttpServer.h"
#include "LibServing/AttemptPlan.h"
#include "LibServing/EventReader.h"
#include "LibServing/StreamProgress.h"
#include "Services/Node/CallAdmission.h"
#include "Services/Node/HealthProber.h"
#include "Services/Node/NodeContext.h"
#include "Services/Node/NodeMetrics.h"
#include "Services/Node/PeerRelay.h"
#include "Services/Node/PermitClient.h"
#include "Services/Node/StreamOriginClient.h"

namespace Anvilyard::Node {

/// Handles one online request: chooses a server, sends the request and relays the response. Retries or resumes it as its
/// AttemptPlan allows.
class OnlineCall : public std::enable_shared_from_this<OnlineCall>
{
public:
    struct Parts {
        NodeContext &context;
        NodeMetrics &metrics;
        HealthProber &health;
        PermitClient &permits;
        StreamOriginClient &origins;
        /// Its priority is that of the customer, if the customer has one.
        Serving::Route route;
        OnlineRequestHead head;
        Http::HttpRequest request;
        /// As in AttemptParameters.
        std::optional<CustomerId> customer;
        std::shared_ptr<Http::ResponseWriter> writer;
        /// Set if another instance passed the request on to this one.
        std::optional<RelayTerms> relay = {};
    };

    explicit OnlineCall(Parts parts);
    void start();

private:
    enum class Connection {
        Any,
        Fresh,
    };

    /// One send to a server, or to another instance that sends it to a server, and what its response has brought so far. Nothing of it is
    /// used for the next send.
    struct Attempt {
        /// For a send to another instance, an id of its own with the address of that instance.
        Serving::ServerRecord server;
        /// The other instance; unset for a send to a server.
        std::optional<InstanceId> helper;
        /// Unset version in `server` for a send to another instance, until its response names a known server.
        bool isVersionKnown = true;
        Instant sentAt;
        /// Time from which this send counts as the trial of a suspect after the end of its quarantine; unset for other sends.
        std::optional<WallInstant> trialAt = {};
        Serving::EventReader events;
        /// Events of the stream before this attempt.
        std::size_t earlierEvents = 0;
        Serving::EventTimer eventTimer = {};
        /// Null once the attempt has ended.
        std::shared_ptr<Http::Exchange> exchange;
        Http::ResponseHead head;
        ResponseTraits traits;
        /// Body of a response that is not an event stream.
        std::string body;
        bool isEventStream = false;
        /// The node ended the attempt, so the kind of its connection was not reported.
        bool isAborted = false;
        /// The node ended the attempt although the server may only have been slow.
        bool isMoved = false;
        /// Reading is paused because the caller is slow.
        bool isPaused = false;
        /// When the stream last made progress, or its silence was last tolerated.
        Instant lastPieceAt;
        Serving::StreamProgress progress;
        /// Checks whether the response starts, and then whether its stream goes on.
        std::unique_ptr<Http::Timer> progressTimer;
    };

    /// Finds out where the stream began that the caller takes up, and sends the request there or refuses it.
    void findOrigin();
    void onOrigin(StreamOriginClient::Finding finding, Serving::StreamOrigin const &origin);
    /// Records where a new stream begins.
    void onStreamBegins();
    void placeAndSend();
    /// Asks whether this request may be the trial of a suspect, and then places it or refuses it.
    void reserveTrial();
    /// Gives a trial back that was not sent.
    void returnTrial();
    /// Sends the request if the server has no limit or a permit is granted. Otherwise it is placed again, without that server.
    void sendWithPermit(Serving::ServerRecord const &server, bool hasFreeSlot, Connection connection);
    void onPermitDenied();
    void refuseAtLimits(Serving::Placement const &placement);
    /// When the caller may return after a refusal by this placement.
    [[nodiscard]] Duration returnDelay(Serving::Placement const &placement);
    void send(Serving::ServerRecord const &server, bool hasFreeSlot, Connection connection);
    /// Returns the instance to pass the request on to; `std::nullopt` if it is sent from here.
    [[nodiscard]] std::optional<Serving::RelayHelper> chooseHelper();
    /// Whether the request may be sent to another instance if its servers are out of reach.
    [[nodiscard]] bool mayRelay() const;
    /// Waits if it is about to be found out that the servers are out of reach, and then passes the request on or refuses it. Returns
    /// whether it waits.
    bool waitForReachCheck();
    void sendToHelper(Serving::RelayHelper const &helper);
    void startExchange(Http::HttpClient &client, Http::ClientRequest request);
    /// Records what a response that came through another instance says about its server.
    void recordRelayedHead();
    /// Handles an error response that came through another instance.
    void endRelayed();
    void logNoPlacement(Serving::Placement const &placement, Duration latencyTarget) const;
    void onSending();
    void onHead(Http::ResponseHead head);
    void onPiece(std::string_view piece);
    void onEnd();
    void onFailure(Http::ExchangeFailure const &failure);
    /// Whether the connection ended after the server started its response and before it had generated an answer, as when it crashes.
    [[nodiscard]] bool isResponseLost(Error const &error) const;
    /// Records a response that ended with its connection before the server had answered the request, as when it crashes.
    void recordLoss(Http::ExchangeFailure const &failure);
    [[nodiscard]] Serving::RequestSuspects suspects() const;
    [[nodiscard]] bool mayCrashServers() const;
    /// Time in which the response has to start, or the request is sent again.
    [[nodiscard]] Duration responseTimeout(Instant now) const;
    [[nodiscard]] std::size_t attemptEvents() const;
    void onCallerGone();
    void dropResponse();
    void reportAnswered();
    void keepPlace(Instant now);
    void relayEvents(std::string_view piece);
    void endStream();
    void endBuffered();
    void abortAttempt(Http::HttpError error, Http::Reached reached = Http::Reached::ResponseStarted);
    void scheduleSlowStartCheck(Instant until);
    void onSlowStart();
    void scheduleSilenceCheck();
    void onSilenceCheck();
    [[nodiscard]] bool mayMoveToFreeSlot();
    [[nodiscard]] bool mayResumeHere(Instant now);
    [[nodiscard]] Serving::Placement findPlacement(Duration latencyTarget, Serving::PlacementRequest::LimitedServers limitedServers);
    void finishAttempt();
    void perform(Routing::NextStep step);
    [[nodiscard]] bool refuseIfQuarantined();
    void refuseAfterAttempts();
    void refuse(Http::Refusal const &refusal);
    /// Sends a stream again after a delay, or breaks it off if that is not allowed. The caller has a part of it, so it cannot be refused.
    void resumeLater(char const *reason);
    void callAt(Instant at, void (OnlineCall::*step)());
    /// `reason` is one of a small fixed set.
    void abortStream(char const *reason);
    void finish(char const *outcome);
    [[nodiscard]] bool isStream() const;
    [[nodiscard]] bool isResumable() const;
    [[nodiscard]] bool acceptsVersion(Serving::SoftwareVersion const &version) const;
    [[nodiscard]] bool isVersionGone() const;
    [[nodiscard]] std::optional<Duration> silenceLimit() const;

    Parts parts_;
    PoolName pool_;
    RouteMetrics &routeMetrics_;
    Instant startedAt_;
    Instant deadline_;
    CallAdmission admission_;
    Serving::AttemptPlan plan_;
    Serving::EventSequence events_;
    /// The current or last attempt; null before the first.
    std::shared_ptr<Attempt> attempt_;
    /// Version that began the stream, and at which alone it goes on; unset before its first event.
    std::optional<Serving::SoftwareVersion> streamVersion_;
    std::size_t attempts_ = 0;
    std::size_t permitRequests_ = 0;
    /// Instances that could not take the request.
    std::size_t relayRefusals_ = 0;
    /// Attempts that the node itself ended because they were silent or malformed.
    std::size_t abortedAttempts_ = 0;
    /// Why the response was broken off; empty if it was not.
    std::string breakReason_;
    /// The response head, and perhaps events, were sent to the caller.
    bool isRelaying_ = false;
    std::unique_ptr<Http::Timer> waitTimer_;
    Instant lastEventAt_;
    /// Software versions of the servers that sent events of this response.
    std::set<Serving::SoftwareVersion> softwareVersions_;
    /// A server has generated more than the events that a crashing one may send.
    bool isAnswered_ = false;
    /// Time from which the next send counts as the trial of a suspect.
    std::optional<WallInstant> reservedTrial_;
    bool isFinished_ = false;
};

} // namespace Anvilyard::Node
