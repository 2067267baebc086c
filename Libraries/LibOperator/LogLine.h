#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Operator {

/// One line of a structured log.
struct LogLine {
    WallInstant time;
    /// Instance that wrote the line, or the name of the source if the line does not name its instance.
    std::string instance;
    std::string name;
    /// All other fields, with numbers as text.
    std::map<std::string, std::string, std::less<>> fields;

    /// Returns the value of a field, or an empty text if the line has no such field.
    [[nodiscard]] std::string_view field(std::string_view key) const;
    /// Returns the value of a field as a number, or 0 if it is no number or out of range.
    [[nodiscard]] std::uint64_t number(std::string_view key) const;
    /// Returns whether any field has exactly this value.
    [[nodiscard]] bool hasValue(std::string_view value) const;
};

/// Parses a log line, which is a JSON object after an optional prefix added by a log collector. Returns `std::nullopt` if the text
/// is not a log line.
std::optional<LogLine> parseLogLine(std::string_view text, std::string const &source);

/// Formats the UTC time of day as `HH:MM:SS.mmm`.
std::string formatTimeOfDay(WallInstant time);

} // namespace Anvilyard::Operator
