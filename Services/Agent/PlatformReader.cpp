#include "PlatformReader.h"

namespace Anvilyard::Agent {

namespace {

Platform::Kind const ruleSetsKind{std::string(Rules::RuleSetKind)};

Fleet::ServerState toServerState(Platform::EndpointState state)
{
    switch (state) {
    case Platform::EndpointState::Ready:
        return Fleet::ServerState::Ready;
    case Platform::EndpointState::NotReady:
        return Fleet::ServerState::NotReady;
    case Platform::EndpointState::Terminating:
        return Fleet::ServerState::Leaving;
    }
    return Fleet::ServerState::NotReady;
}

Fleet::InstanceListing::OwnInstance toOwnInstance(Platform::Endpoint const &endpoint)
{
    using Listed = Fleet::InstanceListing::OwnInstance::Listed;
    return {
        .id = InstanceId(endpoint.id),
        .agentAddress = endpoint.address,
        .listed = endpoint.state == Platform::EndpointState::Terminating ? Listed::Leaving : Listed::Serving,
    };
}

} // namespace

PlatformReader::PlatformReader(Platform::ObjectStore &store, Platform::InstanceList &list, PlatformReaderHooks hooks)
    : store_(store)
    , list_(list)
    , hooks_(std::move(hooks))
{
}

void PlatformReader::readRules(Generation generation)
{
    if (generation <= Generation(1)) {
        findOldest();
        return;
    }
    Platform::ObjectName const name(Rules::ruleSetName(generation));
    store_.get(Platform::CallClass::Read, ruleSetsKind, name, [this](Result<Platform::Object> const &object) {
        if (!object) {
            reportFailure(object.error());
            return;
        }
        if (auto rules = Rules::decodeRuleSet(object->spec))
            report(std::move(*rules));
        else
            reportFailure(rules.error());
    });
}

void PlatformReader::findOldest()
{
    // Old generations may have been removed, so the search begins at the oldest remaining one.
    Platform::ListOptions const options{.namePrefix = "ruleset-", .limit = 1};
    store_.list(Platform::CallClass::Read, ruleSetsKind, options, [this](Result<Platform::ObjectList> const &list) {
        if (!list) {
            reportFailure(list.error());
            return;
        }
        if (list->objects.empty()) {
            hooks_.onRulesUnavailable(Fleet::RulesReadError::Missing, {});
            return;
        }
        if (auto rules = Rules::decodeRuleSet(list->objects.front().spec))
            probe(Fleet::NewestRulesSearch(rules->generation), std::move(*rules));
        else
            reportFailure(rules.error());
    });
}

void PlatformReader::probe(Fleet::NewestRulesSearch search, Rules::AcceptedRules newest)
{
    auto const next = search.next();
    if (!next) {
        report(std::move(newest));
        return;
    }
    Platform::ObjectName const name(Rules::ruleSetName(*next));
    store_.get(Platform::CallClass::Read,
               ruleSetsKind,
               name,
               [this, search, newest = std::move(newest)](Result<Platform::Object> const &object) mutable {
                   if (!object && object.error().code == Platform::PlatformError::NotFound) {
                       search.onMissing();
                       probe(search, std::move(newest));
                       return;
                   }
                   auto rules = object ? Rules::decodeRuleSet(object->spec) : tl::unexpected(object.error());
                   if (!rules) {
                       reportFailure(rules.error());
                       return;
                   }
                   search.onFound();
                   probe(search, std::move(*rules));
               });
}

void PlatformReader::report(Rules::AcceptedRules rules)
{
    hooks_.onRules({.generation = rules.generation, .text = std::move(rules.text), .digest = std::move(rules.digest)});
}

void PlatformReader::reportFailure(Error error)
{
    auto const isMissing = error.code == Platform::PlatformError::NotFound;
    hooks_.onRulesUnavailable(isMissing ? Fleet::RulesReadError::Missing : Fleet::RulesReadError::Failed, std::move(error));
}

void PlatformReader::readList()
{
    list_.fetch([this](Result<std::vector<Platform::EndpointSet>> const &sets) {
        if (sets)
            hooks_.onList(toListing(*sets));
        else
            hooks_.onListUnavailable(sets.error());
    });
}

Fleet::InstanceListing toListing(std::vector<Platform::EndpointSet> const &sets)
{
    Fleet::InstanceListing listing;
    for (auto const &set : sets) {
        for (auto const &endpoint : set.endpoints) {
            if (set.service == OwnServiceName) {
                listing.instances.push_back(toOwnInstance(endpoint));
                continue;
            }
            listing.servers.push_back({
                .id = ServerId(endpoint.id),
                .pool = PoolName(set.service),
                .address = endpoint.address,
                .dataCentre = endpoint.dataCentre,
                .state = toServerState(endpoint.state),
            });
        }
    }
    return listing;
}

} // namespace Anvilyard::Agent
