#include "LibPeer/PeerCodecContext.h"

namespace Anvilyard::Peer {

namespace {

/// Decodes an unknown state of a newer version as Suspect, the least trusted state in which the record is still passed on.
Fleet::MemberState decodeState(peer::InstanceRecord::State state)
{
    switch (state) {
    case peer::InstanceRecord::ALIVE:
        return Fleet::MemberState::Alive;
    case peer::InstanceRecord::LEAVING:
        return Fleet::MemberState::Leaving;
    case peer::InstanceRecord::DEAD:
        return Fleet::MemberState::Dead;
    default:
        return Fleet::MemberState::Suspect;
    }
}

peer::InstanceRecord::State encodeState(Fleet::MemberState state)
{
    switch (state) {
    case Fleet::MemberState::Alive:
        return peer::InstanceRecord::ALIVE;
    case Fleet::MemberState::Suspect:
        return peer::InstanceRecord::SUSPECT;
    case Fleet::MemberState::Leaving:
        return peer::InstanceRecord::LEAVING;
    case Fleet::MemberState::Dead:
        return peer::InstanceRecord::DEAD;
    }
    return peer::InstanceRecord::SUSPECT;
}

peer::ServerRecord::State encodeState(Fleet::ServerRecord const &record)
{
    if (record.presence == Fleet::ServerPresence::Removed)
        return peer::ServerRecord::REMOVED;
    switch (record.server.state) {
    case Fleet::ServerState::Ready:
        return peer::ServerRecord::READY;
    case Fleet::ServerState::NotReady:
        return peer::ServerRecord::NOT_READY;
    case Fleet::ServerState::Leaving:
        return peer::ServerRecord::LEAVING;
    }
    return peer::ServerRecord::NOT_READY;
}

Fleet::ServerState decodeState(peer::ServerRecord::State state)
{
    switch (state) {
    case peer::ServerRecord::READY:
        return Fleet::ServerState::Ready;
    case peer::ServerRecord::LEAVING:
    case peer::ServerRecord::REMOVED:
        return Fleet::ServerState::Leaving;
    default:
        return Fleet::ServerState::NotReady;
    }
}

template<typename Message>
void encodeExchange(Fleet::Exchange const &exchange, Message &message)
{
    message.set_generation(exchange.generation.value());
    for (auto const &record : exchange.instances)
        encode(record, *message.add_instances());
    for (auto const &record : exchange.servers)
        encode(record, *message.add_servers());
    message.set_instances_digest(exchange.instancesDigest);
    message.set_servers_digest(exchange.serversDigest);
    message.set_jobs_mark(exchange.jobsMark);
    if (exchange.rules)
        encode(*exchange.rules, *message.mutable_rules());
    message.set_from_instance(exchange.from.value());
    message.set_incarnation(exchange.incarnation.value());
}

template<typename Message>
Fleet::Exchange decodeExchange(Message const &message)
{
    Fleet::Exchange exchange{
        .from = InstanceId(message.from_instance()),
        .incarnation = Fleet::Incarnation(message.incarnation()),
        .generation = Generation(message.generation()),
        .instancesDigest = message.instances_digest(),
        .serversDigest = message.servers_digest(),
        .jobsMark = message.jobs_mark(),
    };
    for (auto const &record : message.instances())
        exchange.instances.push_back(decode(record));
    for (auto const &record : message.servers())
        exchange.servers.push_back(decode(record));
    if (message.has_rules())
        exchange.rules = decode(message.rules());
    return exchange;
}

} // namespace

void encode(Fleet::InstanceRecord const &record, peer::InstanceRecord &message)
{
    message.set_id(record.id.value());
    message.set_data_centre(record.dataCentre.value());
    message.set_incarnation(record.incarnation.value());
    message.set_state(encodeState(record.state));
    message.set_agent_address(record.agentAddress.value());
    message.set_entry_peer_address(record.entryPeerAddress.value());
    message.set_batch_peer_address(record.batchPeerAddress.value());
    message.set_generation_in_force(record.generationInForce.value());
}

Fleet::InstanceRecord decode(peer::InstanceRecord const &message)
{
    return {
        .id = InstanceId(message.id()),
        .dataCentre = DataCentreId(message.data_centre()),
        .incarnation = Fleet::Incarnation(message.incarnation()),
        .state = decodeState(message.state()),
        .agentAddress = Address(message.agent_address()),
        .entryPeerAddress = Address(message.entry_peer_address()),
        .batchPeerAddress = Address(message.batch_peer_address()),
        .generationInForce = Generation(message.generation_in_force()),
    };
}

void encode(Fleet::ServerRecord const &record, peer::ServerRecord &message)
{
    message.set_id(record.server.id.value());
    message.set_pool(record.server.pool.value());
    message.set_address(record.server.address.value());
    message.set_data_centre(record.server.dataCentre.value());
    message.set_state(encodeState(record));
    message.set_version(record.version);
}

Fleet::ServerRecord decode(peer::ServerRecord const &message)
{
    return {
        .server =
            {
                .id = ServerId(message.id()),
                .pool = PoolName(message.pool()),
                .address = Address(message.address()),
                .dataCentre = DataCentreId(message.data_centre()),
                .state = decodeState(message.state()),
            },
        .presence = message.state() == peer::ServerRecord::REMOVED ? Fleet::ServerPresence::Removed : Fleet::ServerPresence::Listed,
        .version = message.version(),
    };
}

void encode(Fleet::RuleSetUpdate const &update, peer::RuleSetUpdate &message)
{
    message.set_generation(update.generation.value());
    message.set_base_generation(update.base.value());
    message.set_text(update.text);
    for (auto const &change : update.changes) {
        auto &line = *message.add_changes();
        line.set_kind(change.kind == Rules::LineChange::Kind::Added ? peer::LineChange::ADDED : peer::LineChange::REMOVED);
        line.set_line(change.line);
        line.set_text(change.text);
    }
    message.set_digest(update.digest);
}

Fleet::RuleSetUpdate decode(peer::RuleSetUpdate const &message)
{
    Fleet::RuleSetUpdate update{
        .generation = Generation(message.generation()),
        .base = Generation(message.base_generation()),
        .text = message.text(),
        .digest = message.digest(),
    };
    for (auto const &line : message.changes()) {
        auto const kind = line.kind() == peer::LineChange::ADDED ? Rules::LineChange::Kind::Added : Rules::LineChange::Kind::Removed;
        update.changes.push_back({.kind = kind, .line = line.line(), .text = line.text()});
    }
    return update;
}

void encode(Fleet::Exchange const &exchange, peer::ExchangeRequest &message)
{
    encodeExchange(exchange, message);
    message.set_wants_all(exchange.wantsAll);
}

void encode(Fleet::Exchange const &exchange, peer::ExchangeReply &message)
{
    encodeExchange(exchange, message);
}

Fleet::Exchange decode(peer::ExchangeRequest const &message)
{
    auto exchange = decodeExchange(message);
    exchange.wantsAll = message.wants_all();
    return exchange;
}

Fleet::Exchange decode(peer::ExchangeReply const &message)
{
    return decodeExchange(message);
}

void encode(OnlineReport const &report, peer::ReportOnlineRequest &message)
{
    message.set_from_instance(report.from.value());
    message.set_process_incarnation(report.processIncarnation);
    for (auto const &count : report.counts) {
        auto &entry = *message.add_counts();
        entry.set_server(count.server.value());
        entry.set_started(count.started);
        entry.set_finished(count.finished);
    }
}

OnlineReport decode(peer::ReportOnlineRequest const &message)
{
    OnlineReport report{.from = InstanceId(message.from_instance()), .processIncarnation = message.process_incarnation()};
    for (auto const &count : message.counts())
        report.counts.push_back({.server = ServerId(count.server()), .started = count.started(), .finished = count.finished()});
    return report;
}

void encode(UsageReport const &report, peer::ReportUsageRequest &message)
{
    message.set_from_instance(report.from.value());
    message.set_process_incarnation(report.processIncarnation);
    for (auto const &count : report.counts) {
        auto &entry = *message.add_counts();
        entry.set_customer(count.customer.value());
        entry.set_service(count.service.value());
        entry.set_requests(count.requests);
        entry.set_tokens(count.tokens);
        entry.set_refused(count.refused);
        entry.set_share_serial(count.shareSerial);
    }
}

UsageReport decode(peer::ReportUsageRequest const &message)
{
    UsageReport report{.from = InstanceId(message.from_instance()), .processIncarnation = message.process_incarnation()};
    for (auto const &count : message.counts())
        report.counts.push_back({
            .customer = CustomerId(count.customer()),
            .service = ServiceName(count.service()),
            .requests = count.requests(),
            .tokens = count.tokens(),
            .refused = count.refused(),
            .shareSerial = count.share_serial(),
        });
    return report;
}

void encode(std::vector<GrantedShare> const &shares, peer::ReportUsageReply &message)
{
    for (auto const &share : shares) {
        auto &entry = *message.add_shares();
        entry.set_customer(share.customer.value());
        entry.set_service(share.service.value());
        entry.set_requests_per_second(share.requestsPerSecond);
        entry.set_tokens_per_second(share.tokensPerSecond);
        entry.set_valid_milliseconds(static_cast<std::uint32_t>(share.validFor.count()));
        entry.set_serial(share.serial);
    }
}

std::vector<GrantedShare> decode(peer::ReportUsageReply const &message)
{
    std::vector<GrantedShare> shares;
    for (auto const &share : message.shares())
        shares.push_back({
            .customer = CustomerId(share.customer()),
            .service = ServiceName(share.service()),
            .requestsPerSecond = share.requests_per_second(),
            .tokensPerSecond = share.tokens_per_second(),
            .validFor = std::chrono::milliseconds(share.valid_milliseconds()),
            .serial = share.serial(),
        });
    return shares;
}

} // namespace Anvilyard::Peer
