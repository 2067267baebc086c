#include "Services/Entry/RelayFilter.h"

#include "Services/Entry/BackendCall.h"

namespace Anvilyard::Entry {

RelayFilter::RelayFilter(ThreadContext &context)
    : context_(context)
{
}

void RelayFilter::handle(OnlineRequestPointer request, Next const &)
{
    std::make_shared<BackendCall>(context_, std::move(request))->start();
}

} // namespace Anvilyard::Entry
