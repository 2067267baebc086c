#pragma once

#include "LibCore/Result.h"
#include "LibHttp/HttpMessage.h"
#include "LibJobs/Job.h"
#include "Services/Node/JobAccess.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Anvilyard::Node {

/// Call of an entry to the runner that owns a job: reads results from a position on.
struct PeerReadResults {
    JobId job;
    std::size_t from = 0;
    Duration wait{0};
    /// Hash over the runners that the entry considers alive, as in its reports.
    std::uint64_t runnersHash = 0;
    JobCaller caller = {};
};

/// Call of an entry to the runner that owns a job: reads the body of an item.
struct PeerReadBody {
    JobId job;
    Jobs::ItemId item;
    JobCaller caller = {};
};

/// Call of an entry to the runner that owns a job: whether the caller may end the job.
struct PeerJobAccess {
    JobId job;
    JobCaller caller = {};
};

/// Call of an entry to the admitter of a route: whether a job fits within the route's limit of waiting tokens. Sent only while
/// little room is left.
struct PeerAdmission {
    JobId job;
    std::uint64_t tokens = 0;
    std::uint64_t maxTokens = 0;
    /// The limit applies to the jobs of this customer; unset if it applies to all jobs together.
    JobCaller caller = {};
};

/// Notifies the owner of a job that it was accepted or ended, ahead of the owner's watch, whose calls of the store are paced.
struct PeerJobNotice {
    JobId job;
    enum class Event {
        Accepted,
        Ended,
    } event = Event::Accepted;
    /// Whether the sender has just created the job, so that nothing else about it is stored. Earlier builds do not state it.
    bool isNew = false;
};

/// Question to the owner of a job whether it holds the job. It notifies the owner of the job as well.
struct PeerOwnerCheck {
    JobId job;
};

using PeerJobCall = std::variant<PeerReadResults, PeerReadBody, PeerJobAccess, PeerAdmission, PeerJobNotice, PeerOwnerCheck>;

std::string toTarget(PeerReadResults const &call);
std::string toTarget(PeerReadBody const &call);
std::string toTarget(PeerJobAccess const &call);
std::string toTarget(PeerAdmission const &call);
std::string toTarget(PeerJobNotice const &call);
std::string toTarget(PeerOwnerCheck const &call);
/// Returns the number in a query parameter, or 0 if there is none.
std::uint64_t readNumberParameter(Http::HttpRequest const &request, std::string_view name);
/// Returns std::nullopt if the request is not a call about a job.
std::optional<PeerJobCall> parsePeerJobCall(Http::HttpRequest const &request);

/// Status sent by a runner that has no further results, if another runner may have stored some. The entry then reads the store at this
/// position only.
constexpr int UnconfirmedStatus = 203;
/// Body of the answer to PeerOwnerCheck if the job needs no runner any more.
constexpr std::string_view JobDoneBody = "done";
/// Status sent by the admitter if the job does not fit.
constexpr int QuotaFullStatus = 429;

} // namespace Anvilyard::Node
