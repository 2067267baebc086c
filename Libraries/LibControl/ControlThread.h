#pragma once

#include "LibCore/Time.h"

#include <functional>
#include <memory>

namespace Anvilyard::Control {

/// The only thread of a program that changes control state: a CAF actor with its own thread that runs tasks in order.
/// State used only by tasks needs no lock. State that traffic threads need is published through a SnapshotCell.
class ControlThread
{
public:
    static std::unique_ptr<ControlThread> create();
    /// Finishes the running task, discards the others and joins the thread.
    virtual ~ControlThread() = default;

    /// Finishes the running task, discards the others and waits until the thread has ended. An owner calls it before it resets its pointer,
    /// which the running task may still use.
    virtual void stop() = 0;
    /// Queues the task and returns immediately. Safe from any thread.
    virtual void post(std::function<void()> task) = 0;
    /// Runs the task on the control thread at the deadline. Safe from any thread.
    virtual void postAt(Instant deadline, std::function<void()> task) = 0;
};

} // namespace Anvilyard::Control
