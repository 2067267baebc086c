#pragma once

#include "LibCore/Result.h"
#include "LibHttp/HttpMessage.h"
#include "LibJobs/Job.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRouting/PromptPrefix.h"
#include "LibServing/DesiredState.h"
#include "LibServing/PromptPart.h"
#include "LibServing/RequestFingerprint.h"
#include "LibServing/ServerDirectory.h"
#include "LibServing/ServerLimit.h"
#include "LibServing/StatedLoad.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Anvilyard::Node {

/// Parsed head of an online request.
struct OnlineRequestHead {
    RequestId id;
    /// How long the caller waits, if stated.
    std::optional<Duration> timeLeft;
    /// Streams: last event that the caller has received.
    std::optional<std::uint64_t> lastEventId;
    /// Streams: the caller's attempt that brought the first event, if the caller has events; empty if not stated.
    RequestId resumes;
    /// Parts of the prompt that other requests may share.
    Routing::PromptPrefix prefix;
    /// The same parts by their ids, in their order.
    std::vector<Serving::PromptPartId> promptParts;
    Serving::RequestFingerprint fingerprint;
};

/// Parameters of one attempt to run a request or item at a server.
struct AttemptParameters {
    /// Empty for a request that another instance sends to a server of its choice.
    ServerId server = {};
    /// Time limit for the server; unlimited if unset.
    std::optional<Duration> timeLeft;
    std::optional<std::uint64_t> lastEventId;
    /// Customer that is sent to the server. Empty for a caller without a key; unset if the desired state has no customers. If set, the
    /// server is not sent the caller's key.
    std::optional<CustomerId> customer = {};
};

/// Properties of a server's response, from its status and headers.
struct ResponseTraits {
    /// Id of the request that the response belongs to, if stated.
    std::optional<RequestId> answeredRequest;
    /// Id of the server that responded, if stated.
    std::optional<ServerId> server;
    /// The response carries the server's signature.
    bool isSigned = false;
    /// The server states that it did not run the request.
    bool isNotRun = false;
    /// The body is encoded although no encoding was requested.
    bool isEncoded = false;
    /// The server states that it is leaving and must receive no new requests.
    bool isServerLeaving = false;
    Serving::StatedLimit limit;
    Serving::StatedLoad load = {};
};

/// Reads the results of a job from a position on.
struct ReadResults {
    JobId job;
    std::size_t from = 0;
    /// The response may be delayed for this long until there is a result.
    Duration wait{0};
};

struct ReadItemBody {
    JobId job;
    Jobs::ItemId item;
};

struct EndJob {
    JobId job;
};

using JobCall = std::variant<ReadResults, ReadItemBody, EndJob>;

struct JobSubmission {
    JobId id;
    std::vector<Jobs::JobItem> items;
};

enum class RetirementState {
    Running,
    Completed,
};

/// Kinds and names of the platform's own records in its store.
struct PlatformRecords {
    Platform::Kind desiredStateKind;
    Platform::ObjectName desiredStateName;
    Platform::Kind serverKind;
    Platform::Kind retirementKind;
};

/// Protocol of one platform between the product and callers, servers and operators: names, formats and calls. Contains no policy.
class ServingProtocol
{
public:
    virtual ~ServingProtocol() = default;

    [[nodiscard]] virtual bool isReadinessProbe(Http::HttpRequest const &request) const = 0;
    /// Returns the key that the caller presents; `std::nullopt` if there is none, or more than one.
    [[nodiscard]] virtual std::optional<std::string_view> readKey(Http::HttpRequest const &request) const = 0;
    /// Returns the customer that makeServerRequest() stated; `std::nullopt` if it stated none.
    [[nodiscard]] virtual std::optional<CustomerId> readCustomer(Http::HttpRequest const &request) const = 0;
    /// `customer` is the one that will be sent to the server, as in AttemptParameters. If set, it replaces the key in the fingerprint.
    [[nodiscard]] virtual Result<OnlineRequestHead> readOnlineRequest(Http::HttpRequest const &request,
                                                                      std::optional<CustomerId> const &customer) const = 0;
    /// Returns the parts of a prompt that other requests may share, in their order.
    [[nodiscard]] virtual std::vector<Serving::PromptPartId> readPromptParts(Http::Headers const &headers) const = 0;
    /// Returns the fingerprint of an item, which is that of an online request with the same path, caller and body.
    [[nodiscard]] virtual Serving::RequestFingerprint
    fingerprintOf(Jobs::JobItem const &item, std::string const &host, std::optional<CustomerId> const &customer) const = 0;
    /// Returns std::nullopt if the request is not a call about a batch job.
    [[nodiscard]] virtual std::optional<Result<JobCall>> readJobCall(Http::HttpRequest const &request) const = 0;
    [[nodiscard]] virtual Result<JobSubmission> readSubmission(Http::HttpRequest const &request) const = 0;
    [[nodiscard]] virtual Http::HttpResponse writeResults(Jobs::ResultPage const &page) const = 0;
    [[nodiscard]] virtual std::string writeRetryAfter(Duration wait) const = 0;

    /// Returns the request to send to a server: unchanged except for removed hop-by-hop headers and the headers of the attempt.
    [[nodiscard]] virtual Http::HttpRequest makeServerRequest(Http::HttpRequest const &request, AttemptParameters const &attempt) const = 0;
    [[nodiscard]] virtual Http::HttpRequest
    makeServerRequest(Jobs::JobItem const &item, std::string const &host, AttemptParameters const &attempt) const = 0;
    /// Returns the headers of a server's response to relay to the caller.
    [[nodiscard]] virtual Http::Headers makeCallerHeaders(Http::Headers const &headers) const = 0;
    [[nodiscard]] virtual ResponseTraits readResponseHead(Http::ResponseHead const &head) const = 0;

    [[nodiscard]] virtual PlatformRecords const &records() const = 0;
    [[nodiscard]] virtual Result<Serving::DesiredState> readDesiredState(std::string_view spec) const = 0;
    [[nodiscard]] virtual Result<Serving::ServerRecord> readServer(ServerId const &id, std::string_view spec) const = 0;
    [[nodiscard]] virtual std::string writeRetirement(RetirementState state) const = 0;
    [[nodiscard]] virtual bool isRetirementCompleted(std::string_view status) const = 0;
};

} // namespace Anvilyard::Node
