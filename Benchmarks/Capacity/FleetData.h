#pragma once

#include "LibFleet/FleetView.h"
#include "LibFleet/PeerMessages.h"

#include <string>
#include <vector>

/// Test data with names and addresses of realistic length, so that the measured sizes are realistic.
namespace Anvilyard::Benchmarks {

inline std::string numbered(std::string const &stem, std::size_t number)
{
    return stem + std::to_string(10'000 + number);
}

inline Fleet::BackendServer server(std::size_t number)
{
    return {.id = ServerId(numbered("coldline-llm-", number)),
            .pool = PoolName("coldline-llm"),
            .address = Address("10.20.30.40:" + std::to_string(10'000 + number)),
            .dataCentre = DataCentreId("kr-central-" + std::to_string(number % 3))};
}

inline std::vector<Fleet::BackendServer> servers(std::size_t count)
{
    std::vector<Fleet::BackendServer> list;
    for (std::size_t number = 0; number < count; ++number)
        list.push_back(server(number));
    return list;
}

inline Fleet::InstanceRecord instanceRecord(std::size_t number)
{
    auto const host = "10.20.31.41:" + std::to_string(10'000 + number);
    return {.id = InstanceId(numbered("anvilyard-entry-", number)),
            .dataCentre = DataCentreId("kr-central-" + std::to_string(number % 3)),
            .incarnation = Fleet::Incarnation(1'800'000'000'000 + number),
            .agentAddress = Address(host),
            .entryPeerAddress = Address(host),
            .batchPeerAddress = Address(host),
            .generationInForce = Generation(510'000)};
}

/// Returns a rules file with one pool, one service and the given number of customers, each with its own limit.
inline std::string rulesText(std::size_t customers)
{
    std::string text =
        "{pool: coldline-llm, kind: model-engine}  # asked by jinho: the shared pool\n"
        "{service: fault-notes, pool: coldline-llm, model: coldline-7b, version: \"3\", weight: 1}  # asked by jinho: notes\n";
    for (std::size_t number = 0; number < customers; ++number) {
        auto const customer = numbered("shop-", number);
        text += "{customer: " + customer + ", key-sha256: \"" + std::string(64 - customer.size(), '0') + std::to_string(10'000 + number)
            + std::string(customer.size() - 5, 'a') + "\"}  # asked by minseo: new shop\n";
        text += "{limit: " + customer
            + ", service: fault-notes, requests-per-second: 20, tokens-per-second: 4000}  # asked by minseo: contract\n";
    }
    return text;
}

} // namespace Anvilyard::Benchmarks
