#include "Services/Entry/IntentFilter.h"

#include "Services/Entry/IntentCall.h"
#include "Services/Entry/Refusals.h"

namespace Anvilyard::Entry {

IntentFilter::IntentFilter(ThreadContext &context, std::shared_ptr<Platform::ObjectStore> store, InstanceId instance)
    : context_(context)
    , store_(std::move(store))
    , instance_(std::move(instance))
    , processId_(context.random())
{
}

void IntentFilter::handle(OnlineRequestPointer request, Next const &next)
{
    if (request->repeatability != Routing::Repeatability::Never || request->idempotencyKey.empty())
        return next(std::move(request));
    if (!store_)
        return request->refuse(Refusals::storeUnavailable(Refusals::jitteredDelay(2s, context_.random)));
    // Unique among the requests of all instances, also after a restart of this process.
    auto const writer = instance_.value() + "/" + std::to_string(processId_) + "/" + std::to_string(++lastNumber_);
    std::make_shared<IntentCall>(context_, *store_, std::move(request), writer, next)->start();
}

} // namespace Anvilyard::Entry
