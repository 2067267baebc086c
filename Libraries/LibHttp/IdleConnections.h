#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibHttp/ClientConnection.h"
#include "LibHttp/HttpClient.h"

#include <map>
#include <memory>
#include <vector>

namespace Anvilyard::Http {

/// Idle connections kept for reuse. A connection that is closed by the server or receives bytes while idle is discarded
/// immediately, because such bytes belong to no request of this client.
class IdleConnections : public std::enable_shared_from_this<IdleConnections>
{
public:
    explicit IdleConnections(HttpClientOptions options);

    /// Removes and returns the most recently used connection that has not expired and has not carried a request of this identity, or null
    /// if there is none.
    std::unique_ptr<ClientConnection> take(Address const &server, std::optional<RequestIdentity> identity = {});
    void put(Address const &server, std::unique_ptr<ClientConnection> connection);
    void drop(Address const &server);
    void close();

private:
    struct Idle {
        std::shared_ptr<std::unique_ptr<ClientConnection>> connection;
        Instant expires;
    };

    void watch(Address const &server, std::shared_ptr<std::unique_ptr<ClientConnection>> const &connection);

    HttpClientOptions options_;
    std::map<Address, std::vector<Idle>> servers_;
    bool closed_ = false;
};

} // namespace Anvilyard::Http
