#pragma once

#include "LibFleet/PeerMessages.h"
#include "LibPeer/OnlineReports.h"
#include "LibPeer/UsageReports.h"
#include "peer.pb.h"

/// Converts typed messages to and from protobuf. Included by .cpp files only, since the generated header is slow to compile.
namespace Anvilyard::Peer {

namespace peer = ::anvilyard::peer;

void encode(Fleet::InstanceRecord const &record, peer::InstanceRecord &message);
Fleet::InstanceRecord decode(peer::InstanceRecord const &message);
void encode(Fleet::ServerRecord const &record, peer::ServerRecord &message);
Fleet::ServerRecord decode(peer::ServerRecord const &message);
void encode(Fleet::RuleSetUpdate const &update, peer::RuleSetUpdate &message);
Fleet::RuleSetUpdate decode(peer::RuleSetUpdate const &message);
void encode(Fleet::Exchange const &exchange, peer::ExchangeRequest &message);
void encode(Fleet::Exchange const &exchange, peer::ExchangeReply &message);
Fleet::Exchange decode(peer::ExchangeRequest const &message);
Fleet::Exchange decode(peer::ExchangeReply const &message);
void encode(OnlineReport const &report, peer::ReportOnlineRequest &message);
OnlineReport decode(peer::ReportOnlineRequest const &message);
void encode(UsageReport const &report, peer::ReportUsageRequest &message);
UsageReport decode(peer::ReportUsageRequest const &message);
void encode(std::vector<GrantedShare> const &shares, peer::ReportUsageReply &message);
std::vector<GrantedShare> decode(peer::ReportUsageReply const &message);

} // namespace Anvilyard::Peer
