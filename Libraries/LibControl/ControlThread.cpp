#include "LibControl/ControlThread.h"

#include <caf/all.hpp>

namespace Anvilyard::Control {

/// A task for the control actor. It is never sent to another process.
struct ControlTask {
    std::function<void()> run;
};

} // namespace Anvilyard::Control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Anvilyard::Control::ControlTask)

namespace Anvilyard::Control {

namespace {

caf::behavior controlBehavior(caf::event_based_actor *)
{
    return {
        [](ControlTask const &task) { task.run(); },
    };
}

class CafControlThread final : public ControlThread
{
public:
    CafControlThread()
        : system_(configuration_)
        , actor_(system_.spawn<caf::detached>(controlBehavior))
    {
    }

    ~CafControlThread() override
    {
        // The destructor of the actor system waits until the actor has terminated.
        caf::anon_send_exit(actor_, caf::exit_reason::kill);
    }

    CafControlThread(CafControlThread const &) = delete;
    CafControlThread &operator=(CafControlThread const &) = delete;

    void stop() override
    {
        caf::anon_send_exit(actor_, caf::exit_reason::kill);
        caf::scoped_actor self(system_);
        self->wait_for(actor_);
    }

    void post(std::function<void()> task) override
    {
        caf::anon_send(actor_, ControlTask{std::move(task)});
    }

    void postAt(Instant deadline, std::function<void()> task) override
    {
        auto const wait = std::max(Duration::zero(), deadline - readLocalClock());
        caf::delayed_anon_send(actor_, wait, ControlTask{std::move(task)});
    }

private:
    /// One scheduler thread is sufficient, because the only actor is detached and runs on its own thread.
    struct Configuration : caf::actor_system_config {
        Configuration()
        {
            set("scheduler.max-threads", 1);
        }
    };

    Configuration configuration_;
    caf::actor_system system_;
    caf::actor actor_;
};

} // namespace

std::unique_ptr<ControlThread> ControlThread::create()
{
    return std::make_unique<CafControlThread>();
}

} // namespace Anvilyard::Control
