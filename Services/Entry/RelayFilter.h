#pragma once

#include "Services/Entry/Filter.h"
#include "Services/Entry/ThreadContext.h"

namespace Anvilyard::Entry {

/// The last stage, which sends the request to a backend server and relays the answer.
class RelayFilter final : public Filter
{
public:
    explicit RelayFilter(ThreadContext &context);

    void handle(OnlineRequestPointer request, Next const &next) override;

private:
    ThreadContext &context_;
};

} // namespace Anvilyard::Entry
