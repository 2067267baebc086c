#pragma once

#include "Services/Entry/ThreadContext.h"

#include <optional>

namespace Anvilyard::Entry {

/// Counts one request as in flight at a backend server during its own lifetime, for the chooser and for the reports of online load.
class InFlightGuard
{
public:
    InFlightGuard(ThreadContext &context, Rules::PoolKind kind, Fleet::BackendServer const &server, Routing::PromptPrefix const *prefix);
    ~InFlightGuard();
    InFlightGuard(InFlightGuard const &) = delete;
    InFlightGuard &operator=(InFlightGuard const &) = delete;

    [[nodiscard]] Fleet::BackendServer const &server() const;

private:
    ThreadContext &context_;
    Rules::PoolKind kind_;
    Fleet::BackendServer server_;
};

} // namespace Anvilyard::Entry
