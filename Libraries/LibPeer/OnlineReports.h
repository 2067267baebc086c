#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Peer {

/// Cumulative counts of online requests that one entry process sent to one engine.
struct OnlineCount {
    ServerId server;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
};

struct OnlineReport {
    InstanceId from;
    std::uint64_t processIncarnation = 0;
    std::vector<OnlineCount> counts;
};

/// Sends reports to the batch processes that own the engines' batch slots, over one channel per address. Reports that cannot
/// be delivered are dropped, since a later report supersedes them.
class OnlineReportSender
{
public:
    static std::unique_ptr<OnlineReportSender> create(std::string sharedKey);
    virtual ~OnlineReportSender() = default;
    /// Never blocks.
    virtual void send(Address const &batchPeer, OnlineReport report) = 0;
};

struct OnlineReportServerOptions {
    Address listen;
    std::string sharedKey;
    /// Called on gRPC threads.
    std::function<void(OnlineReport)> onReport;
};

class OnlineReportServer
{
public:
    static Result<std::unique_ptr<OnlineReportServer>> create(OnlineReportServerOptions options);
    virtual ~OnlineReportServer() = default;
    [[nodiscard]] virtual Address address() const = 0;
};

} // namespace Anvilyard::Peer
