#pragma once

#include "LibServing/PeerExchange.h"
#include "Services/Node/DatagramSocket.h"
#include "Services/Node/FleetFollower.h"
#include "Services/Node/NodeContext.h"

namespace Anvilyard::Node {

/// Exchanges reports with the other instances. Each instance registers its address in the platform's store for the others.
class PeerReportExchange
{
public:
    /// `onLoadChanged` is called when a peer's load changed.
    PeerReportExchange(NodeContext &context, FleetFollower &fleet, std::function<void()> onLoadChanged);

    Result<std::monostate> start();
    /// Sends the reports that are due. Call about 20 times a second and after each change of load.
    void onTick(Instant now);
    /// Sends a datagram to another instance.
    void send(Address const &to, std::string const &content);
    /// Whether the runners are known. An instance that has just started takes itself for the only one.
    [[nodiscard]] bool areRunnersKnown(Instant now) const;
    void setStage(Serving::InstanceStage stage);
    /// Sets whether this instance reaches the platform's store.
    void setStoreReachability(Serving::StoreReachability reachability);
    /// Sets the number of tokens that wait in this instance's jobs.
    void setWaitingTokens(std::uint64_t tokens);
    /// Sets the same by customer. Sent to runners only.
    void setCustomerTokens(Serving::TokensByCustomer tokens, std::vector<JobId> recentJobs);

private:
    void registerSelf();
    void addInstance(Platform::Object const &object);
    void onDatagram(std::string_view content);
    void onReport(Serving::PeerReport report);
    void onSummary(Serving::LoadSummary summary);
    void sendCustomerTokens(Instant now);

    NodeContext &context_;
    FleetFollower &fleet_;
    std::function<void()> onLoadChanged_;
    StoreFollower instanceFollower_;
    std::unique_ptr<DatagramSocket> socket_;
    std::unique_ptr<Http::Timer> registerTimer_;
    Serving::PeerExchange exchange_;
    Serving::InstanceStage stage_ = Serving::InstanceStage::Serving;
    Serving::StoreReachability storeReachability_ = Serving::StoreReachability::Reached;
    std::int64_t startedAt_ = 0;
    std::uint64_t waitingTokens_ = 0;
    std::uint64_t waitingTokensChanges_ = 0;
    Serving::TokensByCustomer customerTokens_;
    std::vector<JobId> recentJobs_;
    bool areCustomerTokensSent_ = true;
    Instant customerTokensSentAt_ = Instant::min();
    std::uint64_t customerTokensNumber_ = 0;
};

} // namespace Anvilyard::Node
