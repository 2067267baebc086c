#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibServing/PromptPart.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Serving {

/// One process of a backend server. A server may start again under its id.
struct ServerProcess {
    ServerId id;
    /// Wall time of the start in milliseconds, as the server states it.
    std::int64_t startedAt = 0;

    auto operator<=>(ServerProcess const &) const = default;
};

/// A response that ended with its connection before the server had generated an answer, as when the server crashes.
struct LostResponse {
    ServerProcess server;
    /// Parts of the request's prompt, in their order, without those that were answered recently.
    std::vector<PromptPartId> parts;
    WallInstant at;
};

/// Evidence about prompts that may crash servers, as instances exchange it. Merging it repeatedly or in any order has the same result.
struct PromptEvidence {
    std::vector<LostResponse> lost;
    /// When a prompt with the part was last answered, for parts in `lost`.
    std::map<PromptPartId, WallInstant> answered;
};

/// Encodes evidence as the JSON payload of a datagram, of at most some kilobytes.
std::string encodePromptEvidence(PromptEvidence const &evidence);
/// Whether a datagram is prompt evidence.
bool isPromptEvidence(std::string_view text);
/// Fails with `ServingError::BadPeerMessage` if the text is not complete evidence.
Result<PromptEvidence> decodePromptEvidence(std::string_view text);

} // namespace Anvilyard::Serving
