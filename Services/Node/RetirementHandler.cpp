#include "Services/Node/RetirementHandler.h"

#include "LibObserve/Events.h"

namespace Anvilyard::Node {

namespace {

/// A runner is considered dead if it sends no reports for at least this long after its retirement was requested.
constexpr Duration TakeoverDelay = 2s;
constexpr Duration ReportRetryPause = 300ms;

} // namespace

RetirementHandler::RetirementHandler(NodeContext &context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , follower_({
          .loop = context.loop,
          .store = context.store,
          .kind = context.protocol.records().retirementKind,
          .random = context.random,
          .hooks = {
              .onListed =
                  [this](std::vector<Platform::Object> const &objects, Platform::ResourceVersion const &) {
                      for (auto const &object : objects)
                          onObjectChanged(Platform::WatchChange::Added, object);
                  },
              .onChange = [this](Platform::WatchChange change, Platform::Object const &object) { onObjectChanged(change, object); },
          },
      })
{
}

void RetirementHandler::start()
{
    follower_.start();
}

void RetirementHandler::onObjectChanged(Platform::WatchChange change, Platform::Object const &object)
{
    InstanceId const instance(object.name.value());
    if (change == Platform::WatchChange::Deleted) {
        requests_.erase(instance);
        return;
    }
    auto const now = readLocalClock();
    auto const [entry, isNew] = requests_.try_emplace(instance, Request{.firstSeenAt = now, .notBefore = now});
    entry->second.isCompleted = context_.protocol.isRetirementCompleted(object.status);
    if (isNew && !entry->second.isCompleted && instance == context_.settings.instance) {
        Observe::log(Observe::Events::NodeRetiring, {{"instance", instance.value()}});
        hooks_.onRetire();
    }
}

bool RetirementHandler::isResponsible(InstanceId const &instance, Request const &request, Instant now) const
{
    if (instance == context_.settings.instance)
        return hooks_.isEmpty();
    if (context_.peers.find(instance) || now - request.firstSeenAt < TakeoverDelay)
        return false;
    auto const runners = context_.peers.runners();
    return !runners.empty() && runners.front() == context_.settings.instance;
}

void RetirementHandler::onTick(Instant now)
{
    for (auto &[instance, request] : requests_) {
        if (request.isCompleted || request.isReporting || now < request.notBefore || !isResponsible(instance, request, now))
            continue;
        request.isReporting = true;
        report(instance);
    }
}

void RetirementHandler::report(InstanceId const &instance)
{
    auto const &records = context_.protocol.records();
    context_.statuses.replaceStatus(
        Platform::CallClass::Commit,
        records.retirementKind,
        Platform::ObjectName(instance.value()),
        context_.protocol.writeRetirement(RetirementState::Completed),
        [this, instance](Result<Platform::Object> const &replaced) {
            auto const found = requests_.find(instance);
            if (found == requests_.end())
                return;
            found->second.isReporting = false;
            found->second.isCompleted = replaced.has_value();
            found->second.notBefore = readLocalClock() + ReportRetryPause;
            Observe::log(Observe::Events::NodeRetirementReported,
                         {{"instance", instance.value()}, {"outcome", replaced ? "stored" : replaced.error().toString()}});
        });
}

} // namespace Anvilyard::Node
