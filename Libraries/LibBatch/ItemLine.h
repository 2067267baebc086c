#pragma once

#include "LibBatch/JobRecords.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Anvilyard::Batch {

/// Parses one line of a submission: `{"custom_id", "method": "POST", "url", "body", "repeat": "never"}`. The error is a message for
/// the caller.
tl::expected<ItemSpec, std::string> parseItemLine(std::string_view line);

/// A server's response to an item, as written to the output and error files.
struct ItemResponse {
    int status = 0;
    std::string requestId;
    /// The response body, which may be JSON or other text.
    std::string body;
};
std::string formatResponseLine(std::string const &lineId, std::string const &customId, ItemResponse const &response);
std::string formatErrorLine(std::string const &lineId, std::string const &customId, std::string_view code, std::string_view message);

} // namespace Anvilyard::Batch
