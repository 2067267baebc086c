#pragma once

#include "LibCore/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Rules {

using namespace std::chrono_literals;

/// Line of a rule and its requester.
struct RuleOrigin {
    int line = 0;
    std::string requester;
};

enum class PoolKind {
    ModelEngine,
    PlainService,
};

/// {pool: coldline-llm, kind: model-engine}. Its servers come from the platform's instance list.
struct PoolRule {
    PoolName pool;
    PoolKind kind = PoolKind::ModelEngine;
    RuleOrigin origin;
};

/// {service: fault-notes, pool: coldline-llm, model: coldline-7b, version: "3", weight: 90}. Requests of a service are
/// distributed over its lines by weight. Callers give the service name as `model`, or as the service in the path for plain
/// services.
struct RouteRule {
    ServiceName service;
    PoolName pool;
    ModelName model;
    ModelVersion version;
    std::uint32_t weight = 1;
    RuleOrigin origin;
};

/// {customer: shop-17, key-sha256: "..."}; the key's SHA-256 in lower-case hex identifies the caller.
struct CustomerRule {
    CustomerId customer;
    std::string keySha256;
    RuleOrigin origin;
};

/// {limit: shop-17, service: fault-notes, requests-per-second: 20, tokens-per-second: 4000}; customer "*" applies to each
/// customer.
struct LimitRule {
    CustomerId customer;
    ServiceName service;
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    RuleOrigin origin;
};

/// {batch: coldline-llm, admit: always, share: 0.8, floor-slots: 0, slots-per-server: 8}. `admit` may be a daily UTC window "22:00-06:00".
struct BatchRule {
    PoolName pool;
    /// Minutes of the UTC day; equal values mean always.
    std::chrono::minutes admitFrom{0};
    std::chrono::minutes admitUntil{0};
    /// Maximum share of an engine's slots for batch work.
    double share = 1.0;
    std::uint32_t slotsPerServer = 8;
    /// Slots that batch work keeps if no signal about the engine's online load is available.
    std::uint32_t floorSlots = 0;
    RuleOrigin origin;
};

/// {leaving: engine-3}; the server receives no new work.
struct LeavingRule {
    ServerId server;
    RuleOrigin origin;
};

/// {job-defaults: "*", due-hours: 12, keep-days: 30, attempts: 3}.
struct JobDefaultsRule {
    CustomerId customer;
    std::chrono::hours due{12};
    std::chrono::hours keep{24 * 30};
    std::uint32_t attempts = 3;
    RuleOrigin origin;
};

enum class OrderKind {
    LoadModel,
    LoadAdapter,
    ChangeRole,
};

/// {order: load-model, server: engine-1, model: coldline-7b, version: "3"}: declared contents of a model engine.
struct OrderRule {
    OrderKind kind = OrderKind::LoadModel;
    ServerId server;
    ModelName model;
    ModelVersion version;
    std::string adapter;
    std::string role;
    RuleOrigin origin;
};

/// All rules of one accepted file. Immutable once published.
struct RuleSet {
    Generation generation;
    std::vector<PoolRule> pools;
    std::vector<RouteRule> routes;
    std::vector<CustomerRule> customers;
    std::vector<LimitRule> limits;
    std::vector<BatchRule> batches;
    std::vector<LeavingRule> leaving;
    std::vector<JobDefaultsRule> jobDefaults;
    std::vector<OrderRule> orders;
};

} // namespace Anvilyard::Rules
