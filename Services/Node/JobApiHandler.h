#pragma once

#include "LibHttp/HttpServer.h"
#include "LibHttp/Refusal.h"
#include "LibJobs/JobCodec.h"
#include "LibJobs/ResultChain.h"
#include "Services/Node/NodeContext.h"
#include "Services/Node/NodeMetrics.h"
#include "Services/Node/PeerJobCalls.h"

#include <map>

namespace Anvilyard::Node {

using Writer = std::shared_ptr<Http::ResponseWriter>;

/// Serves the callers' batch job API on every entry. Stores submitted jobs in the platform's store, and reads a job from the runner
/// that owns it, or from the store if that runner cannot be reached.
class JobApiHandler
{
public:
    JobApiHandler(NodeContext &context, NodeMetrics &metrics);

    void submit(Serving::Route const &route, Http::HttpRequest const &request, Writer writer);
    void handle(JobCall const &call, Writer writer);

private:
    /// A submitted job that is not acknowledged yet.
    struct Submission;

    void storePart(std::shared_ptr<Submission> const &submission, std::size_t part);
    void storeJob(std::shared_ptr<Submission> const &submission);
    void onStoreError(std::shared_ptr<Submission> const &submission, Error const &error, std::function<void()> retry);
    void acknowledge(std::shared_ptr<Submission> const &submission);
    void refuse(JobId const &job, Writer const &writer, Http::Refusal const &refusal);

    void read(ReadResults const &call, Writer writer);
    void confirmNoResults(ReadResults const &call, std::string emptyPage, Writer const &writer);
    void readFromStore(ReadResults const &call, Writer writer);
    void read(ReadItemBody const &call, Writer writer);
    void readFromStore(ReadItemBody const &call, Writer writer);
    void end(EndJob const &call, Writer writer, Instant deadline, bool wasOutcomeUnknown);
    void notifyOwner(PeerJobNotice const &notice);
    void callOwner(JobId const &job, std::string target, Duration wait, std::function<void(std::optional<Http::HttpResponse>)> done);
    /// Calls `done` with std::nullopt if the peer is unknown or does not respond.
    void callPeer(std::optional<InstanceId> const &id,
                  std::string target,
                  Duration wait,
                  std::function<void(std::optional<Http::HttpResponse>)> done);
    void requestAdmission(Serving::Route const &route, std::shared_ptr<Submission> const &submission);
    void acknowledgeIfStored(std::shared_ptr<Submission> const &submission, std::uint64_t maxWaitingTokens);
    void refuseForQuota(std::shared_ptr<Submission> const &submission, std::uint64_t maxWaitingTokens);

    [[nodiscard]] std::uint64_t expectedWaitingTokens(Instant now);

    NodeContext &context_;
    NodeMetrics &metrics_;
    struct AcceptedJob {
        Instant at;
        std::uint64_t tokens = 0;
    };
    /// Recently accepted jobs that their runners may not have counted yet.
    std::map<JobId, AcceptedJob> accepted_;
};

} // namespace Anvilyard::Node
