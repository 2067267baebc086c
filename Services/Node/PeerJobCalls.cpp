#include "Services/Node/PeerJobCalls.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>

namespace Anvilyard::Node {

namespace {

constexpr std::string_view JobsSegment = "jobs";
constexpr std::string_view ResultsSegment = "results";
constexpr std::string_view ItemsSegment = "items";
constexpr std::string_view AdmissionSegment = "admission";
constexpr std::string_view AcceptedSegment = "accepted";
constexpr std::string_view EndedSegment = "ended";
constexpr std::string_view OwnerSegment = "owner";
constexpr std::string_view AccessSegment = "access";
constexpr std::string_view CustomerParameter = "customer";

std::string percentEncode(std::string const &segment)
{
    return boost::urls::encode(segment, boost::urls::unreserved_chars);
}

/// Returns the parameter after `separator`, or nothing.
std::string callerParameter(char separator, JobCaller const &caller)
{
    return caller ? separator + std::string(CustomerParameter) + "=" + percentEncode(caller->value()) : "";
}

JobCaller readCaller(Http::HttpRequest const &request)
{
    auto name = request.query(CustomerParameter);
    return name ? std::optional(CustomerId(std::move(*name))) : std::nullopt;
}

} // namespace

std::uint64_t readNumberParameter(Http::HttpRequest const &request, std::string_view name)
{
    auto const text = request.query(name).value_or("0");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string toTarget(PeerReadResults const &call)
{
    auto const wait = std::chrono::duration_cast<std::chrono::milliseconds>(call.wait).count();
    return "/jobs/" + percentEncode(call.job.value()) + "/results?from=" + std::to_string(call.from) + "&wait=" + std::to_string(wait)
        + "&runners=" + std::to_string(call.runnersHash) + callerParameter('&', call.caller);
}

std::string toTarget(PeerReadBody const &call)
{
    return "/jobs/" + percentEncode(call.job.value()) + "/items/" + percentEncode(call.item.value()) + callerParameter('?', call.caller);
}

std::string toTarget(PeerJobAccess const &call)
{
    return "/jobs/" + percentEncode(call.job.value()) + "/" + std::string(AccessSegment) + callerParameter('?', call.caller);
}

std::string toTarget(PeerAdmission const &call)
{
    return "/jobs/" + percentEncode(call.job.value()) + "/admission?tokens=" + std::to_string(call.tokens)
        + "&most=" + std::to_string(call.maxTokens) + callerParameter('&', call.caller);
}

std::string toTarget(PeerJobNotice const &call)
{
    auto const event = call.event == PeerJobNotice::Event::Accepted ? AcceptedSegment : EndedSegment;
    return "/jobs/" + percentEncode(call.job.value()) + "/" + std::string(event) + (call.isNew ? "?new=1" : "");
}

std::string toTarget(PeerOwnerCheck const &call)
{
    return "/jobs/" + percentEncode(call.job.value()) + "/" + std::string(OwnerSegment);
}

std::optional<PeerJobCall> parsePeerJobCall(Http::HttpRequest const &request)
{
    auto const parsed = boost::urls::parse_origin_form(request.target);
    if (!parsed)
        return std::nullopt;
    std::vector<std::string> segments;
    for (auto const &segment : parsed->segments())
        segments.push_back(segment);
    if (segments.size() < 3 || segments[0] != JobsSegment)
        return std::nullopt;
    JobId job(segments[1]);
    if (segments.size() == 3 && segments[2] == ResultsSegment) {
        return PeerReadResults{
            .job = std::move(job),
            .from = static_cast<std::size_t>(readNumberParameter(request, "from")),
            .wait = std::chrono::milliseconds(readNumberParameter(request, "wait")),
            .runnersHash = readNumberParameter(request, "runners"),
            .caller = readCaller(request),
        };
    }
    if (segments.size() == 3 && segments[2] == AdmissionSegment)
        return PeerAdmission{.job = std::move(job),
                             .tokens = readNumberParameter(request, "tokens"),
                             .maxTokens = readNumberParameter(request, "most"),
                             .caller = readCaller(request)};
    if (segments.size() == 3 && segments[2] == AcceptedSegment)
        return PeerJobNotice{
            .job = std::move(job), .event = PeerJobNotice::Event::Accepted, .isNew = readNumberParameter(request, "new") == 1};
    if (segments.size() == 3 && segments[2] == EndedSegment)
        return PeerJobNotice{.job = std::move(job), .event = PeerJobNotice::Event::Ended};
    if (segments.size() == 3 && segments[2] == AccessSegment)
        return PeerJobAccess{.job = std::move(job), .caller = readCaller(request)};
    if (segments.size() == 3 && segments[2] == OwnerSegment)
        return PeerOwnerCheck{.job = std::move(job)};
    if (segments.size() == 4 && segments[2] == ItemsSegment)
        return PeerReadBody{.job = std::move(job), .item = Jobs::ItemId(segments[3]), .caller = readCaller(request)};
    return std::nullopt;
}

} // namespace Anvilyard::Node
