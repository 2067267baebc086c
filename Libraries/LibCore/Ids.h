#pragma once

#include "LibCore/StrongType.h"

#include <cstdint>
#include <string>

namespace Anvilyard {

/// One running set of entry, batch and agent processes. A replacement gets a new id.
using InstanceId = StrongType<struct InstanceIdTag, std::string>;
/// A data centre of a region.
using DataCentreId = StrongType<struct DataCentreIdTag, std::string>;
/// The customer to which usage and limits are charged.
using CustomerId = StrongType<struct CustomerIdTag, std::string>;
/// The name under which callers request a service. Rules map it to pools, models and versions.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/// A set of backend servers of one kind.
using PoolName = StrongType<struct PoolNameTag, std::string>;
/// A backend server: a model engine or a server of a plain service.
using ServerId = StrongType<struct ServerIdTag, std::string>;
using ModelName = StrongType<struct ModelNameTag, std::string>;
using ModelVersion = StrongType<struct ModelVersionTag, std::string>;
using RequestId = StrongType<struct RequestIdTag, std::string>;
using JobId = StrongType<struct JobIdTag, std::string>;
/// Zero-based position of a chunk in its job.
using ChunkIndex = StrongType<struct ChunkIndexTag, std::uint32_t>;
/// Zero-based position of an item in its job.
using ItemIndex = StrongType<struct ItemIndexTag, std::uint32_t>;
/// Counts the owners of one lease. A higher epoch always supersedes a lower one.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
/// Number of an accepted, immutable rule set. 0 means that none has been accepted yet.
using Generation = StrongType<struct GenerationTag, std::uint64_t>;
/// An IP address and port, for example "127.0.0.1:8080" or "[::1]:8080".
using Address = StrongType<struct AddressTag, std::string>;

} // namespace Anvilyard
