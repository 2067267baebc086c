#pragma once

#include "LibServing/PromptPart.h"
#include "LibServing/RequestFingerprint.h"

#include <optional>
#include <variant>
#include <vector>

namespace Anvilyard::Serving {

/// What may be the cause if the server that runs a request crashes: a part of its prompt or the request as a whole.
using Suspect = std::variant<PromptPartId, RequestFingerprint>;

/// The suspects of one request.
struct RequestSuspects {
    /// Parts of the prompt, in their order.
    std::vector<PromptPartId> parts;
    /// Unset if the request is known not to be the cause.
    std::optional<RequestFingerprint> request;

    bool operator==(RequestSuspects const &) const = default;
};

} // namespace Anvilyard::Serving
