#include "Benchmarks/Capacity/FleetData.h"
#include "Benchmarks/Capacity/Roles.h"
#include "Benchmarks/Capacity/Slope.h"
#include "LibFleet/FleetNode.h"

namespace Anvilyard::Benchmarks {

namespace {

constexpr CurrentTime Start{.local = Instant{1s}, .wall = WallInstant(2h)};

std::unique_ptr<Fleet::FleetNode> makeNode(std::size_t instances, std::size_t engines)
{
    auto node = std::make_unique<Fleet::FleetNode>(Fleet::FleetNodeOptions{.self = instanceRecord(0), .randomSeed = 1});
    Fleet::Exchange message{.from = instanceRecord(1).id, .incarnation = instanceRecord(1).incarnation};
    for (std::size_t number = 1; number < instances; ++number)
        message.instances.push_back(instanceRecord(number));
    for (auto const &backend : servers(engines))
        message.servers.push_back({.server = backend, .version = 1});
    Fleet::Exchange reply;
    node->onExchange(message, reply, Start);
    return node;
}

} // namespace

void measureAgent()
{
    printFigure("agent_bytes_per_instance", bytesPerUnit(90, 360, [](std::size_t count) { return makeNode(count, 0); }), "bytes");
    printFigure("agent_bytes_per_server", bytesPerUnit(150, 600, [](std::size_t count) { return makeNode(9, count); }), "bytes");
    auto const perInstance = bytesPerUnit(90, 360, [](std::size_t count) {
        auto view = std::make_unique<Fleet::FleetView>();
        for (std::size_t number = 0; number < count; ++number) {
            auto const record = instanceRecord(number);
            view->instances.push_back({.id = record.id,
                                       .dataCentre = record.dataCentre,
                                       .agentAddress = record.agentAddress,
                                       .entryPeerAddress = record.entryPeerAddress,
                                       .batchPeerAddress = record.batchPeerAddress});
        }
        return view;
    });
    printFigure("view_bytes_per_instance", perInstance, "bytes");
    auto const perServer = bytesPerUnit(150, 600, [](std::size_t count) {
        auto view = std::make_unique<Fleet::FleetView>();
        view->servers = servers(count);
        return view;
    });
    printFigure("view_bytes_per_server", perServer, "bytes");
}

} // namespace Anvilyard::Benchmarks
