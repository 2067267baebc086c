#pragma once

#include "LibHttp/EventLoop.h"

#include <functional>
#include <memory>

namespace Anvilyard::Node {

/// Handles signals on the event loop's thread until it is destroyed.
class Signals
{
public:
    struct Handlers {
        /// SIGTERM or SIGINT.
        std::function<void()> onStop;
        /// SIGHUP.
        std::function<void()> onReload;
    };

    virtual ~Signals() = default;
    static std::unique_ptr<Signals> watch(Http::EventLoop &loop, Handlers handlers);
};

} // namespace Anvilyard::Node
