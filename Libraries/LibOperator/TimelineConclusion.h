#pragma once

#include "LibOperator/LogLine.h"

#include <span>
#include <string>
#include <vector>

namespace Anvilyard::Operator {

/// Conclusion from the lines about one request, job or item.
struct TimelineConclusion {
    std::string text;
    /// Descriptions of lines that must exist according to the other lines but are missing.
    std::vector<std::string> missing;
};

/// `lines` must be about the subject itself and in the order of their corrected times.
TimelineConclusion concludeTimeline(std::string const &id, std::span<LogLine const> lines);

} // namespace Anvilyard::Operator
