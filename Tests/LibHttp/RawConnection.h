#pragma once

#include "LibCore/Ids.h"

#include <memory>
#include <string>
#include <string_view>

namespace Anvilyard::Tests {

/// A blocking client socket that sends and receives raw bytes. Reads and writes have a long timeout, so that no test hangs.
class RawConnection
{
public:
    explicit RawConnection(Address const &server);
    ~RawConnection();
    RawConnection(RawConnection const &) = delete;
    RawConnection &operator=(RawConnection const &) = delete;

    /// Returns whether all bytes were sent.
    bool send(std::string_view bytes);
    /// Shuts down the sending side. Reading remains possible.
    void finishSending();
    /// Reads until the text was received, the connection ended or the timeout expired.
    std::string readUntil(std::string_view text);
    /// Reads what is there, or waits for it. Empty if the connection ended or the timeout expired.
    std::string readPiece();
    /// Reads until the connection ended or the timeout expired.
    std::string readAll();
    /// Returns whether the server closed or reset the connection, as opposed to a timeout.
    [[nodiscard]] bool isEnded() const;
    /// Returns whether the server reset the connection.
    [[nodiscard]] bool isReset() const;

private:
    bool readSome(std::string &received);

    struct Socket;
    std::unique_ptr<Socket> socket_;
    bool isEnded_ = false;
    bool isReset_ = false;
};

} // namespace Anvilyard::Tests
