#include "LibHttp/ListenProbe.h"

#include "LibHttp/AddressParser.h"
#include "LibHttp/EventLoopContext.h"

#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace Anvilyard::Http {

struct ListenProbe::State {
    explicit State(EventLoop &loop)
        : socket(loop.context().io)
    {
    }

    void end(Outcome outcome)
    {
        auto const done = std::exchange(onDone, nullptr);
        close();
        if (done)
            done(outcome);
    }

    void close()
    {
        timer.reset();
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    boost::asio::ip::tcp::socket socket;
    std::unique_ptr<Timer> timer;
    std::function<void(Outcome)> onDone;
};

ListenProbe::ListenProbe(EventLoop &loop, Address const &address, Instant deadline, std::function<void(Outcome)> onDone)
    : state_(std::make_shared<State>(loop))
{
    state_->onDone = std::move(onDone);
    auto const endpoint = parseAddress(address);
    auto const until = endpoint ? deadline : readLocalClock();
    state_->timer = loop.at(until, [weak = std::weak_ptr(state_)] {
        if (auto const state = weak.lock())
            state->end(Outcome::Unknown);
    });
    if (!endpoint)
        return;
    state_->socket.async_connect(*endpoint, [state = state_](boost::system::error_code error) {
        bool const isRefused = error == boost::asio::error::connection_refused;
        state->end(!error ? Outcome::Listening : isRefused ? Outcome::Refused : Outcome::Unknown);
    });
}

ListenProbe::~ListenProbe()
{
    state_->onDone = nullptr;
    state_->close();
}

} // namespace Anvilyard::Http
