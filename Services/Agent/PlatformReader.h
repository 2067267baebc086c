#pragma once

#include "LibFleet/FleetNode.h"
#include "LibFleet/NewestRulesSearch.h"
#include "LibPlatform/InstanceList.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRules/RuleSetObject.h"

#include <functional>
#include <optional>
#include <vector>

namespace Anvilyard::Agent {

/// Callbacks with the results, run on the thread of the store's event loop.
struct PlatformReaderHooks {
    std::function<void(Fleet::RuleSetUpdate)> onRules;
    std::function<void(Fleet::RulesReadError, Error)> onRulesUnavailable;
    std::function<void(Fleet::InstanceListing)> onList;
    std::function<void(Error)> onListUnavailable;
};

/// Reads rule sets and the instance list from the platform. Must be used only on the thread of the store's event loop.
class PlatformReader
{
public:
    PlatformReader(Platform::ObjectStore &store, Platform::InstanceList &list, PlatformReaderHooks hooks);

    /// Reads one generation. Generation 1 or lower means that no rules are known yet; the newest generation is searched then.
    void readRules(Generation generation);
    void readList();

private:
    void findOldest();
    void probe(Fleet::NewestRulesSearch search, Rules::AcceptedRules newest);
    void report(Rules::AcceptedRules rules);
    void reportFailure(Error error);

    Platform::ObjectStore &store_;
    Platform::InstanceList &list_;
    PlatformReaderHooks hooks_;
};

/// Service in the platform's list that contains the instances of the fleet. Every other service is a pool.
inline constexpr std::string_view OwnServiceName = "anvilyard";
Fleet::InstanceListing toListing(std::vector<Platform::EndpointSet> const &sets);

} // namespace Anvilyard::Agent
