#include "Services/Node/Signals.h"

#include "LibHttp/EventLoopContext.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace Anvilyard::Node {

namespace {

class AsioSignals final : public Signals
{
public:
    AsioSignals(Http::EventLoop &loop, Handlers handlers)
        : signals_(loop.context().io, SIGTERM, SIGINT, SIGHUP)
        , handlers_(std::move(handlers))
    {
        // A write to a connection that the peer has closed must return an error instead of terminating the process.
        std::signal(SIGPIPE, SIG_IGN);
        wait();
    }

private:
    void wait()
    {
        signals_.async_wait([this](boost::system::error_code error, int number) {
            if (error)
                return;
            wait();
            auto const &handler = number == SIGHUP ? handlers_.onReload : handlers_.onStop;
            if (handler)
                handler();
        });
    }

    boost::asio::signal_set signals_;
    Handlers handlers_;
};

} // namespace

std::unique_ptr<Signals> Signals::watch(Http::EventLoop &loop, Handlers handlers)
{
    return std::make_unique<AsioSignals>(loop, std::move(handlers));
}

} // namespace Anvilyard::Node
