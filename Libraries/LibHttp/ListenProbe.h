#pragma once

#include "LibCore/Ids.h"
#include "LibHttp/EventLoop.h"

#include <functional>
#include <memory>

namespace Anvilyard::Http {

/// Finds out whether a process listens at an address. It opens a connection and closes it without sending a request.
class ListenProbe
{
public:
    enum class Outcome {
        Listening,
        /// The host refused the connection.
        Refused,
        /// The host did not respond or cannot be reached.
        Unknown,
    };

    /// Calls `onDone` once, on the loop's thread, unless the probe is destroyed first.
    ListenProbe(EventLoop &loop, Address const &address, Instant deadline, std::function<void(Outcome)> onDone);
    ~ListenProbe();
    ListenProbe(ListenProbe const &) = delete;
    ListenProbe &operator=(ListenProbe const &) = delete;

private:
    struct State;

    std::shared_ptr<State> state_;
};

} // namespace Anvilyard::Http
