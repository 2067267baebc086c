#pragma once

#include "Services/Node/NodeContext.h"
#include "Services/Node/StoreFollower.h"

#include <map>

namespace Anvilyard::Node {

/// Handles operators' requests to retire a runner's machine. A runner stores nothing on its machine, so the machine is empty once
/// its jobs have other owners and its outcomes are stored. The runner itself reports this to the platform; if it sends no reports
/// to its peers, the first of the other runners does so.
class RetirementHandler
{
public:
    struct Hooks {
        /// Called when this instance must hand its jobs over.
        std::function<void()> onRetire;
        /// Returns whether no work of this instance is left.
        std::function<bool()> isEmpty;
    };

    RetirementHandler(NodeContext &context, Hooks hooks);

    void start();
    void onTick(Instant now);

private:
    struct Request {
        bool isCompleted = false;
        bool isReporting = false;
        Instant firstSeenAt;
        Instant notBefore;
    };

    void onObjectChanged(Platform::WatchChange change, Platform::Object const &object);
    void report(InstanceId const &instance);
    [[nodiscard]] bool isResponsible(InstanceId const &instance, Request const &request, Instant now) const;

    NodeContext &context_;
    Hooks hooks_;
    StoreFollower follower_;
    std::map<InstanceId, Request> requests_;
};

} // namespace Anvilyard::Node
