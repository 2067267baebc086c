#pragma once

#include "LibHttp/HttpServer.h"
#include "LibHttp/Refusal.h"
#include "LibJobs/JobCodec.h"
#include "LibJobs/ResultChain.h"
#include "Services/Node/JobAccess.h"
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

    void submit(Serving::Route const &route, JobCaller const &caller, Http::HttpRequest const &request, Writer writer);
    /// The caller may read and end the jobs that mayAccess() allows. To it, others do not exist.
    void handle(JobCall const &call, JobCaller const &caller, Writer writer);

private:
    /// A submitted job that is not acknowledged yet.
    struct Submission;

    void storePart(std::shared_ptr<Submission> const &submission, std::size_t part);
    void storeJob(std::shared_ptr<Submission> const &submission);
    void onStoreError(std::shared_ptr<Submission> const &submission, Error const &error, std::function<void()> retry);
    /// Acknowledges a job that is stored under the id of the submission, unless another customer submitted it.
    void acknowledgeStored(std::shared_ptr<Submission> const &submission);
    /// The same if the content of the stored object is known.
    void acknowledgeStored(std::shared_ptr<Submission> const &submission, std::string_view spec);
    void acknowledge(std::shared_ptr<Submission> const &submission);
    void refuse(JobId const &job, Writer const &writer, Http::Refusal const &refusal);

    void read(ReadResults const &call, JobCaller const &caller, Writer writer);
    void confirmNoResults(ReadResults const &call, JobCaller const &caller, std::string emptyPage, Writer const &writer);
    void readFromStore(ReadResults const &call, JobCaller const &caller, Writer writer);
    void read(ReadItemBody const &call, JobCaller const &caller, Writer writer);
    void readFromStore(ReadItemBody const &call, JobCaller const &caller, Writer writer);
    /// Reads a job from the store for a caller that may access it, and refuses the call if it may not.
    void loadFor(JobId const &job,
                 JobCaller const &caller,
                 Jobs::LoadExtent extent,
                 Writer const &writer,
                 std::function<void(Jobs::LoadedJob)> onLoaded);
    /// Ends the job if the caller may access it.
    void endIfAccessible(EndJob const &call, JobCaller const &caller, Writer writer);
    void end(EndJob const &call, Writer writer, Instant deadline, bool wasOutcomeUnknown);
    void notifyOwner(PeerJobNotice const &notice);
    void callOwner(JobId const &job,
                   JobCaller const &caller,
                   std::string target,
                   Duration wait,
                   std::function<void(std::optional<Http::HttpResponse>)> done);
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
        std::optional<CustomerId> customer;
    };
    /// Recently accepted jobs that their runners may not have counted yet.
    std::map<JobId, AcceptedJob> accepted_;
};

} // namespace Anvilyard::Node
