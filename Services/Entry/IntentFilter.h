#pragma once

#include "LibPlatform/ObjectStore.h"
#include "Services/Entry/Filter.h"
#include "Services/Entry/ThreadContext.h"

#include <memory>

namespace Anvilyard::Entry {

/// Handles requests that must not be repeated and have an idempotency key. Records an intent in the platform before such a request is
/// sent, and its answer afterwards.
class IntentFilter final : public Filter
{
public:
    /// If `store` is null, such requests are refused as not run.
    IntentFilter(ThreadContext &context, std::shared_ptr<Platform::ObjectStore> store, InstanceId instance);

    void handle(OnlineRequestPointer request, Next const &next) override;

private:
    ThreadContext &context_;
    std::shared_ptr<Platform::ObjectStore> store_;
    InstanceId instance_;
    std::uint64_t processId_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace Anvilyard::Entry
