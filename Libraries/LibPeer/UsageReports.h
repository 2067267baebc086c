#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Peer {

/// Cumulative usage of one customer and service at one entry process.
struct UsageCount {
    CustomerId customer;
    ServiceName service;
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t refused = 0;
    /// Serial of the share in force at this process, or 0 for none. The dividing process uses it to detect which earlier shares
    /// are no longer in use.
    std::uint64_t shareSerial = 0;
};

struct UsageReport {
    InstanceId from;
    std::uint64_t processIncarnation = 0;
    std::vector<UsageCount> counts;
};

struct GrantedShare {
    CustomerId customer;
    ServiceName service;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    /// Validity of the share, counted from its receipt.
    std::chrono::milliseconds validFor{0};
    std::uint64_t serial = 0;
};

/// Reports usage to the entry process that divides a customer's limit, and returns the granted shares. Never blocks.
class UsageReportSender
{
public:
    static std::unique_ptr<UsageReportSender> create(std::string sharedKey);
    virtual ~UsageReportSender() = default;
    /// The reply is called on a gRPC thread; it is not called if the call fails or the peer has too many calls in flight.
    virtual void send(Address const &entryPeer, UsageReport report, std::function<void(std::vector<GrantedShare>)> reply) = 0;
};

struct UsageReportServerOptions {
    Address listen;
    std::string sharedKey;
    /// Called on gRPC threads.
    std::function<std::vector<GrantedShare>(UsageReport)> onReport;
};

class UsageReportServer
{
public:
    static Result<std::unique_ptr<UsageReportServer>> create(UsageReportServerOptions options);
    virtual ~UsageReportServer() = default;
    [[nodiscard]] virtual Address address() const = 0;
};

} // namespace Anvilyard::Peer
