#include "LibHttp/EventLoop.h"

#include "LibHttp/EventLoopContext.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Anvilyard::Http {

namespace {

class AsioTimer final : public Timer
{
public:
    AsioTimer(boost::asio::io_context &io, Instant deadline, std::function<void()> task)
        : timer_(std::make_shared<boost::asio::steady_timer>(io, deadline))
        , cancelled_(std::make_shared<bool>(false))
    {
        // The error code does not show a cancellation after the timer has expired; the flag does.
        timer_->async_wait([timer = timer_, cancelled = cancelled_, task = std::move(task)](boost::system::error_code error) {
            if (!error && !*cancelled)
                task();
        });
    }

    ~AsioTimer() override
    {
        cancel();
    }

    AsioTimer(AsioTimer const &) = delete;
    AsioTimer &operator=(AsioTimer const &) = delete;

    void cancel() override
    {
        *cancelled_ = true;
        timer_->cancel();
    }

private:
    std::shared_ptr<boost::asio::steady_timer> timer_;
    std::shared_ptr<bool> cancelled_;
};

} // namespace

EventLoop::EventLoop()
    : context_(std::make_unique<Context>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    context_->io.run();
}

void EventLoop::stop()
{
    context_->io.stop();
}

void EventLoop::post(std::function<void()> task)
{
    boost::asio::post(context_->io, std::move(task));
}

std::unique_ptr<Timer> EventLoop::at(Instant deadline, std::function<void()> task)
{
    return std::make_unique<AsioTimer>(context_->io, deadline, std::move(task));
}

EventLoop::Context &EventLoop::context()
{
    return *context_;
}

} // namespace Anvilyard::Http
