#pragma once

#include "Services/Entry/Filter.h"

#include <optional>
#include <string>

namespace Anvilyard::Entry {

/// Returns the SHA-256 of the text in lower-case hex.
std::string sha256Hex(std::string_view text);

/// Returns the customer whose bearer key the headers contain, or `std::nullopt` if the key is missing or unknown.
std::optional<CustomerId> identifyCaller(EntryView const &view, Http::Headers const &headers);

/// Identifies the request's customer by its bearer key, or refuses the request.
class CallerIdentifier final : public Filter
{
public:
    void handle(OnlineRequestPointer request, Next const &next) override;
};

} // namespace Anvilyard::Entry
