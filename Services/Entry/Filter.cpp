#include "Services/Entry/Filter.h"

namespace Anvilyard::Entry {

FilterChain::FilterChain(std::vector<std::unique_ptr<Filter>> filters)
    : filters_(std::move(filters))
{
    for (std::size_t index = 0; index < filters_.size(); ++index)
        nexts_.emplace_back([this, index](OnlineRequestPointer request) { handleFrom(index + 1, std::move(request)); });
}

void FilterChain::handle(OnlineRequestPointer request)
{
    handleFrom(0, std::move(request));
}

void FilterChain::handleFrom(std::size_t index, OnlineRequestPointer request)
{
    if (index < filters_.size())
        filters_[index]->handle(std::move(request), nexts_[index]);
}

} // namespace Anvilyard::Entry
