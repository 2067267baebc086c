#pragma once

#include "LibPlatform/ObjectStore.h"
#include "LibRouting/IntentGuard.h"
#include "Services/Entry/Filter.h"
#include "Services/Entry/ThreadContext.h"

#include <memory>
#include <string>

namespace Anvilyard::Entry {

/// Performs the actions that IntentGuard decides on for one request.
class IntentCall : public std::enable_shared_from_this<IntentCall>
{
public:
    IntentCall(ThreadContext &context,
               Platform::ObjectStore &store,
               OnlineRequestPointer request,
               std::string const &writer,
               Filter::Next const &next);

    void start();

private:
    void performAction(Routing::IntentAction action);
    void create();
    void read();
    void send();
    void replay();
    void refuse(Http::Refusal const &refusal);
    void onResult(CallResult const &result, std::function<void()> const &answer);
    void recordResult(CallResult const &result, std::function<void()> const &answer);
    void removeIntent();

    ThreadContext &context_;
    Platform::ObjectStore &store_;
    OnlineRequestPointer request_;
    /// A copy, because the intent may be updated after the request has ended.
    std::string requestId_;
    Filter::Next next_;
    Platform::ObjectName name_;
    Routing::IntentGuard guard_;
    Platform::ResourceVersion version_;
    std::optional<Routing::IntentRecord> existingIntent_;
};

} // namespace Anvilyard::Entry
