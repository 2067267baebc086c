#pragma once

#include "Services/Entry/Filter.h"
#include "Services/Entry/LimitTable.h"
#include "Services/Entry/ThreadContext.h"

namespace Anvilyard::Entry {

/// Refuses requests that exceed the customer's limit for the service and states when to retry.
class LimitFilter final : public Filter
{
public:
    LimitFilter(ThreadContext &context, LimitTable &table);

    void handle(OnlineRequestPointer request, Next const &next) override;

private:
    ThreadContext &context_;
    LimitTable &table_;
};

} // namespace Anvilyard::Entry
