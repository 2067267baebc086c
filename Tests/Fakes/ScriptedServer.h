#pragma once

#include "LibCore/Ids.h"
#include "LibHttp/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilyard::Tests {

/// Server that sends the bytes scripted by a test on each connection. It runs on the given event loop.
class ScriptedServer
{
public:
    /// Interface of an accepted connection for the script.
    class Connection
    {
    public:
        virtual ~Connection() = default;
        /// Position of the connection in the order of acceptance, starting at 0.
        [[nodiscard]] virtual std::size_t index() const = 0;
        /// For a script that sends later: empty once the connection has ended.
        [[nodiscard]] virtual std::weak_ptr<Connection> handle() = 0;
        /// The request head that the script is called for.
        [[nodiscard]] virtual std::string const &head() const = 0;
        virtual void send(std::string bytes) = 0;
        /// Sends what the source returns, as fast as the client reads it, until the source returns nothing or the connection ends.
        virtual void sendFrom(std::function<std::string()> source) = 0;
        /// Closes the connection once all pending bytes are sent.
        virtual void close() = 0;
        /// Resets the connection once all pending bytes are sent.
        virtual void reset() = 0;
    };

    /// Called for each completely received request head. `request` is its number on the connection, starting at 0.
    using Script = std::function<void(Connection &connection, std::size_t request)>;

    static std::unique_ptr<ScriptedServer> create(Http::EventLoop &loop, Script script);
    virtual ~ScriptedServer() = default;
    [[nodiscard]] virtual Address address() const = 0;
    [[nodiscard]] virtual std::size_t connections() const = 0;
    /// Number of connections that neither side has closed.
    [[nodiscard]] virtual std::size_t openConnections() const = 0;
};

} // namespace Anvilyard::Tests
