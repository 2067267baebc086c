#pragma once

#include "Services/Entry/OnlineRequest.h"

#include <functional>
#include <memory>
#include <vector>

namespace Anvilyard::Entry {

/// One stage of request processing. Either answers the request or passes it to the next stage, at once or later.
class Filter
{
public:
    using Next = std::function<void(OnlineRequestPointer)>;

    virtual ~Filter() = default;
    virtual void handle(OnlineRequestPointer request, Next const &next) = 0;
};

/// Filters in the order in which they process requests.
class FilterChain
{
public:
    explicit FilterChain(std::vector<std::unique_ptr<Filter>> filters);

    void handle(OnlineRequestPointer request);

private:
    void handleFrom(std::size_t index, OnlineRequestPointer request);

    std::vector<std::unique_ptr<Filter>> filters_;
    /// The continuation of each filter, created once.
    std::vector<Filter::Next> nexts_;
};

} // namespace Anvilyard::Entry
