#include "Services/Entry/InFlightGuard.h"

namespace Anvilyard::Entry {

InFlightGuard::InFlightGuard(ThreadContext &context,
                             Rules::PoolKind kind,
                             Fleet::BackendServer const &server,
                             Routing::PromptPrefix const *prefix)
    : context_(context)
    , kind_(kind)
    , server_(server)
{
    if (auto *chooser = context_.choosers.find(server_.pool))
        chooser->onStarted(server_.id, prefix);
    if (kind_ == Rules::PoolKind::ModelEngine && context_.hooks.onOnlineStarted)
        context_.hooks.onOnlineStarted(server_.id);
}

InFlightGuard::~InFlightGuard()
{
    if (auto *chooser = context_.choosers.find(server_.pool))
        chooser->onFinished(server_.id);
    if (kind_ == Rules::PoolKind::ModelEngine && context_.hooks.onOnlineFinished)
        context_.hooks.onOnlineFinished(server_.id);
    if (context_.onRequestFinished)
        context_.onRequestFinished();
}

Fleet::BackendServer const &InFlightGuard::server() const
{
    return server_;
}

} // namespace Anvilyard::Entry
