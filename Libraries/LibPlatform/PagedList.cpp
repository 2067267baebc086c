#include "LibPlatform/PagedList.h"

namespace Anvilyard::Platform {

namespace {

struct PagedList : std::enable_shared_from_this<PagedList> {
    ListCall list;
    ListOptions options;
    PageHandler onPage;
    Reply<std::monostate> done;
    ListProgress progress;

    void callNext()
    {
        list(options, [self = shared_from_this()](Result<ObjectList> page) {
            if (!page)
                return self->done(tl::unexpected(std::move(page.error())));
            self->onPage(std::move(page->objects));
            if (page->continueToken.empty())
                return self->done(std::monostate{});
            if (auto advanced = self->progress.advance(page->continueToken); !advanced)
                return self->done(std::move(advanced));
            self->options.continueToken = std::move(page->continueToken);
            self->callNext();
        });
    }
};

} // namespace

Result<std::monostate> ListProgress::advance(std::string const &continueToken)
{
    if (!passed_.insert(continueToken).second)
        return failure(PlatformError::MalformedResponse, "the list comes back to the page after \"" + continueToken + "\"");
    return std::monostate{};
}

void listAllPages(ListCall list, ListOptions options, PageHandler onPage, Reply<std::monostate> done)
{
    auto const pages = std::make_shared<PagedList>();
    pages->list = std::move(list);
    pages->options = std::move(options);
    pages->onPage = std::move(onPage);
    pages->done = std::move(done);
    pages->callNext();
}

} // namespace Anvilyard::Platform
