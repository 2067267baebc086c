#pragma once

#include "LibPlatform/ObjectStore.h"

#include <set>

namespace Anvilyard::Platform {

/// The pages of one list so far. Detects a store that comes back to a page, from which the list would go on without end.
class ListProgress
{
public:
    /// Records the token of the next page. Fails with PlatformError::MalformedResponse if an earlier page had the same.
    Result<std::monostate> advance(std::string const &continueToken);

private:
    std::set<std::string> passed_;
};

/// Calls a store for one page.
using ListCall = std::function<void(ListOptions, Reply<ObjectList>)>;
using PageHandler = std::function<void(std::vector<Object>)>;

/// Lists all pages from the one that `options` names. `onPage` gets the objects of each page; `done` is called once, after the last page or
/// with the first error: one of the store, or PlatformError::MalformedResponse if the store comes back to a page.
void listAllPages(ListCall list, ListOptions options, PageHandler onPage, Reply<std::monostate> done);

} // namespace Anvilyard::Platform
