#pragma once

#include "LibCore/Result.h"
#include "LibRouting/LimitExchange.h"

#include <string>
#include <string_view>

namespace Anvilyard::Serving {

/// A report about the rate limits of customers, with the address that its reply is sent to.
struct AddressedLimitReport {
    Address replyTo;
    Routing::LimitReport report;
};

/// Number of customers that a datagram of at most 16 kB contains.
constexpr std::size_t MaxCustomersPerMessage = 150;

/// Encodes a report as a JSON text.
std::string encodeLimitReport(AddressedLimitReport const &report);
std::string encodeLimitReply(Routing::LimitReply const &reply);
bool isLimitReport(std::string_view text);
bool isLimitReply(std::string_view text);
/// Fail with `ServingError::BadPeerMessage` if the text is not complete.
Result<AddressedLimitReport> decodeLimitReport(std::string_view text);
Result<Routing::LimitReply> decodeLimitReply(std::string_view text);

} // namespace Anvilyard::Serving
