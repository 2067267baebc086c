#include "AgentStatus.h"

#include <boost/json.hpp>

namespace Anvilyard::Agent {

namespace {

char const *nameOf(Fleet::MemberState state)
{
    switch (state) {
    case Fleet::MemberState::Alive:
        return "alive";
    case Fleet::MemberState::Suspect:
        return "suspect";
    case Fleet::MemberState::Leaving:
        return "leaving";
    case Fleet::MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

char const *nameOf(PlatformReachability platform)
{
    switch (platform) {
    case PlatformReachability::NotQueried:
        return "not-asked";
    case PlatformReachability::Available:
        return "answers";
    case PlatformReachability::Unavailable:
        return "away";
    }
    return "unknown";
}

boost::json::object describe(Fleet::InstanceRecord const &record)
{
    return {
        {"id", record.id.value()},
        {"data_centre", record.dataCentre.value()},
        {"state", nameOf(record.state)},
        {"agent", record.agentAddress.value()},
        {"generation_in_force", record.generationInForce.value()},
    };
}

boost::json::object countServers(Fleet::FleetNode const &node)
{
    std::size_t ready = 0;
    std::size_t leaving = 0;
    auto const servers = node.servers().servers();
    for (auto const &server : servers) {
        ready += server.state == Fleet::ServerState::Ready ? 1 : 0;
        leaving += server.state == Fleet::ServerState::Leaving ? 1 : 0;
    }
    return {{"known", servers.size()}, {"ready", ready}, {"leaving", leaving}};
}

} // namespace

std::string describeStatus(Fleet::FleetNode const &node, PlatformReachability platform, std::size_t followers)
{
    auto const &self = node.membership().self();
    boost::json::array instances;
    for (auto const &record : node.membership().allRecords())
        instances.push_back(describe(record));
    return boost::json::serialize(boost::json::object{
        {"instance", self.id.value()},
        {"data_centre", self.dataCentre.value()},
        {"generation_in_force", node.rules().inForce()->generation.value()},
        {"generation_held", node.rules().newestGeneration().value()},
        {"watches_platform", node.watchesPlatform()},
        {"platform", nameOf(platform)},
        {"followers", followers},
        {"servers", countServers(node)},
        {"instances", std::move(instances)},
    });
}

} // namespace Anvilyard::Agent
