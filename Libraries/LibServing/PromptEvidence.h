#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibServing/ServerProcess.h"
#include "LibServing/Suspect.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Serving {

/// A response that ended with its server process before the server had answered the request.
struct LostResponse {
    ServerProcess server;
    /// Parts of the request's prompt, in their order, without those that were answered recently.
    std::vector<PromptPartId> parts;
    WallInstant at;
    /// Unset if the request was answered recently.
    std::optional<RequestFingerprint> request;
    /// From sending the request to the end.
    std::chrono::milliseconds runTime{0};
};

enum class TrialOutcome {
    /// The server may have run the request. What became of it is among the lost responses and the answers, if anyone has seen it.
    Unknown,
    /// The server stated that it did not run the request.
    NotRun,
    /// The request was not sent, as no connection to a server could be made, for example.
    NotSent,
};

/// Trials of a suspect, by the time from which they count.
using Trials = std::map<WallInstant, TrialOutcome>;

/// Evidence about requests and prompts that may crash servers, as instances exchange it. Merging it repeatedly or in any order has the same
/// result.
struct PromptEvidence {
    std::vector<LostResponse> lost;
    /// When a prompt with the part was last answered, for parts in `lost`.
    std::map<PromptPartId, WallInstant> answered;
    /// When a request in `lost` was last answered.
    std::map<RequestFingerprint, WallInstant> answeredRequests;
    /// Requests with a suspect that were sent as a trial after the end of its quarantine.
    std::map<Suspect, Trials> trials;
};

/// Encodes evidence as a JSON text.
std::string encodePromptEvidence(PromptEvidence const &evidence);
/// Number of lost responses that a datagram of some kilobytes contains.
constexpr std::size_t MaxLostResponsesPerMessage = 24;
/// Splits evidence into messages with up to so many lost responses, in their order.
std::vector<PromptEvidence> splitPromptEvidence(PromptEvidence const &evidence, std::size_t maxLostResponses);
/// Whether a datagram is prompt evidence.
bool isPromptEvidence(std::string_view text);
/// Fails with `ServingError::BadPeerMessage` if the text is not complete evidence.
Result<PromptEvidence> decodePromptEvidence(std::string_view text);

} // namespace Anvilyard::Serving
