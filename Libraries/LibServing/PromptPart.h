#pragma once

#include "LibCore/StrongType.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace Anvilyard::Serving {

/// Identifies a part of a prompt that several requests may share.
using PromptPartId = StrongType<struct PromptPartIdTag, std::uint64_t>;

/// Number of events with which a server has shown that it generates an answer to a prompt. A crashing server may have sent a first one.
constexpr std::size_t EventsOfAnswer = 2;

/// Formats ids in hexadecimal, joined by commas.
std::string toString(std::span<PromptPartId const> parts);

} // namespace Anvilyard::Serving
