#pragma once

#include "LibCore/Time.h"

#include <functional>
#include <memory>

namespace Anvilyard::Http {

/// A scheduled call. Destroying or cancelling the timer prevents the call.
class Timer
{
public:
    virtual ~Timer() = default;
    virtual void cancel() = 0;
};

/// The event loop for sockets and timers of one thread. Everything attached to a loop runs on that thread, without locks.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(EventLoop const &) = delete;
    EventLoop &operator=(EventLoop const &) = delete;

    /// Blocks the calling thread until stop() is called.
    void run();
    /// Safe from any thread.
    void stop();
    /// Runs the task on the loop's thread; safe from any thread.
    void post(std::function<void()> task);
    /// Runs the task at the deadline unless the timer is cancelled or destroyed first. Must be called on the loop's thread.
    [[nodiscard]] std::unique_ptr<Timer> at(Instant deadline, std::function<void()> task);

    /// Gives the .cpp files of transports access to the boost::asio::io_context of the loop.
    struct Context;
    [[nodiscard]] Context &context();

private:
    std::unique_ptr<Context> context_;
};

} // namespace Anvilyard::Http
