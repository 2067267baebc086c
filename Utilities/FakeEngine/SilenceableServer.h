#pragma once

#include "LibHttp/HttpServer.h"

#include <memory>
#include <variant>
#include <vector>

namespace Anvilyard::FakeEngine {

/// An HTTP server that can permanently stop responding on all existing connections while new connections work. Each silence() opens a new
/// listener on the same port and leaves the connections of the previous listener open without sending anything on them.
class SilenceableServer
{
public:
    static Result<std::unique_ptr<SilenceableServer>> create(Http::EventLoop &loop, Address listen, Http::RequestHandler handler);

    ~SilenceableServer();
    SilenceableServer(SilenceableServer const &) = delete;
    SilenceableServer &operator=(SilenceableServer const &) = delete;

    [[nodiscard]] Address address() const;
    Result<std::monostate> silence();
    void announceLeaving();
    void stopAccepting();
    /// Number of open exchanges on connections that are not silent.
    [[nodiscard]] std::size_t openExchanges() const;

private:
    struct ListenerState;
    class SilenceableWriter;

    struct Listener {
        // Declared first because open writers must outlive the server, which refers to them.
        std::shared_ptr<ListenerState> state;
        std::unique_ptr<Http::HttpServer> server;
    };

    SilenceableServer(Http::EventLoop &loop, Http::RequestHandler handler);
    Result<std::monostate> open(Address const &listen);

    Http::EventLoop &loop_;
    Http::RequestHandler handler_;
    std::vector<Listener> listeners_;
};

} // namespace Anvilyard::FakeEngine
