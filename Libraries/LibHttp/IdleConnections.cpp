#include "LibHttp/IdleConnections.h"

namespace Anvilyard::Http {

namespace asio = boost::asio;

namespace {

/// Returns whether the server closed the connection or sent bytes without a request.
bool isStale(ClientConnection &connection)
{
    char byte = 0;
    boost::system::error_code error;
    connection.socket.non_blocking(true, error);
    if (error)
        return true;
    connection.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

IdleConnections::IdleConnections(HttpClientOptions options)
    : options_(options)
{
}

std::unique_ptr<ClientConnection> IdleConnections::take(Address const &server, std::optional<RequestIdentity> identity)
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
        return nullptr;
    auto &idle = found->second;
    auto const now = readLocalClock();
    for (auto position = idle.size(); position-- > 0;) {
        auto const at = idle.begin() + static_cast<std::ptrdiff_t>(position);
        if (*at->connection && identity && (*at->connection)->hasCarried(*identity))
            continue;
        auto const candidate = std::move(*at);
        idle.erase(at);
        if (!*candidate.connection)
            continue;
        auto connection = std::move(*candidate.connection);
        boost::system::error_code ignored;
        connection->socket.cancel(ignored);
        if (candidate.expires > now && !isStale(*connection))
            return connection;
    }
    return nullptr;
}

void IdleConnections::put(Address const &server, std::unique_ptr<ClientConnection> connection)
{
    if (closed_)
        return;
    auto &idle = servers_[server];
    std::erase_if(idle, [now = readLocalClock()](Idle const &entry) { return !*entry.connection || entry.expires <= now; });
    if (idle.size() >= options_.idleConnectionsPerServer)
        return;
    auto const slot = std::make_shared<std::unique_ptr<ClientConnection>>(std::move(connection));
    idle.push_back({.connection = slot, .expires = readLocalClock() + options_.idleTimeout});
    watch(server, slot);
}

void IdleConnections::watch(Address const &server, std::shared_ptr<std::unique_ptr<ClientConnection>> const &connection)
{
    auto const weakSelf = weak_from_this();
    std::weak_ptr const weak = connection;
    (*connection)->socket.async_wait(asio::socket_base::wait_read, [weakSelf, weak, server](boost::system::error_code error) {
        auto const self = weakSelf.lock();
        auto const slot = weak.lock();
        if (error || !self || !slot || !*slot)
            return;
        slot->reset();
    });
}

void IdleConnections::drop(Address const &server)
{
    servers_.erase(server);
}

void IdleConnections::close()
{
    closed_ = true;
    servers_.clear();
}

} // namespace Anvilyard::Http
