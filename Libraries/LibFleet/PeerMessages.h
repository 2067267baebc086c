#pragma once

#include "LibCore/Ids.h"
#include "LibFleet/FleetView.h"
#include "LibRules/RuleDifference.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Fleet {

/// Number of times that an instance has refuted records about itself; changed by that instance only.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

/// State of an instance. Later values take precedence over earlier ones at the same incarnation.
enum class MemberState {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

struct InstanceRecord {
    InstanceId id;
    DataCentreId dataCentre;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
    Address agentAddress;
    Address entryPeerAddress;
    Address batchPeerAddress;
    /// Newest generation reported; not part of the record's precedence.
    Generation generationInForce;

    bool operator==(InstanceRecord const &) const = default;
};

enum class ServerPresence {
    Listed,
    /// Kept for some time after the server left the list, so that an older record does not restore it.
    Removed,
};

struct ServerRecord {
    BackendServer server;
    ServerPresence presence = ServerPresence::Listed;
    /// Increases with each change of this record; the higher version takes precedence.
    std::uint64_t version = 0;
};

/// An accepted rules file, either the full text or a difference to an earlier generation.
struct RuleSetUpdate {
    Generation generation;
    /// 0 if `text` is the full file.
    Generation base;
    std::string text;
    std::vector<Rules::LineChange> changes;
    /// SHA-256 of the full file.
    std::string digest;
};

/// Message exchanged between two agents, as request and as reply.
struct Exchange {
    InstanceId from;
    Incarnation incarnation;
    Generation generation;
    std::vector<InstanceRecord> instances;
    std::vector<ServerRecord> servers;
    std::uint64_t instancesDigest = 0;
    std::uint64_t serversDigest = 0;
    std::uint64_t jobsMark = 0;
    std::optional<RuleSetUpdate> rules;
    /// Requests the complete tables; in requests only.
    bool wantsAll = false;
};

} // namespace Anvilyard::Fleet
