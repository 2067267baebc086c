#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Anvilyard::Serving {

/// Waiting tokens of jobs by customer; an empty name stands for jobs without a customer.
using TokensByCustomer = std::map<CustomerId, std::uint64_t>;

/// Datagram of a runner to the others. Counts are absolute, so that lost, duplicated and reordered ones do no harm.
struct CustomerTokensReport {
    InstanceId sender;
    /// Wall time of the sender's start in milliseconds. Together with `number`, it orders the reports of a sender.
    std::int64_t startedAt = 0;
    std::uint64_t number = 0;
    /// Customers are distributed over so many reports, each always in the same one.
    std::size_t part = 0;
    std::size_t parts = 1;
    TokensByCustomer tokens;
    /// Jobs of the last seconds that `tokens` includes, in the first part only.
    std::vector<JobId> recentJobs;
};

/// Distributes the customers over as many reports as are needed to keep each within a datagram.
std::vector<CustomerTokensReport> splitCustomerTokens(TokensByCustomer const &tokens, CustomerTokensReport const &common);
std::string encodeCustomerTokens(CustomerTokensReport const &report);
bool isCustomerTokens(std::string_view text);
/// Fails with `ServingError::BadPeerMessage` if the text is not a complete report.
Result<CustomerTokensReport> decodeCustomerTokens(std::string_view text);

/// Adds up the tokens of a customer that wait at other runners. Made for a load in which one customer's jobs pile up while others submit
/// some: the limit of the one must not refuse the others, and lost reports must not raise it. Performs no I/O.
class CustomerTokenTable
{
public:
    void onReport(CustomerTokensReport report, Instant now);
    /// `others`: all tokens that wait at other runners. Those that no report attributes to customers count for each customer.
    [[nodiscard]] std::uint64_t waiting(CustomerId const &customer, std::uint64_t others, Instant now) const;
    /// Whether the tokens of a recently accepted job are among those reported.
    [[nodiscard]] bool isCounted(JobId const &job, Instant now) const;

private:
    struct Part {
        CustomerTokensReport report;
        Instant validUntil;
    };

    /// By sender and part.
    std::map<std::pair<InstanceId, std::size_t>, Part> parts_;
};

} // namespace Anvilyard::Serving
