#pragma once

#include <system_error>

namespace Anvilyard::Peer {

/// Errors of calls to other processes of the fleet, converted from gRPC status codes.
enum class PeerError {
    /// The peer could not be reached or closed the connection.
    Unreachable = 1,
    /// No response arrived before the call's deadline.
    TimedOut,
    /// The peer rejected the shared key, or none was sent.
    KeyRejected,
    MessageTooLarge,
    /// The peer returned a status that is not expected from this protocol.
    InvalidResponse,
    /// The listening address could not be bound.
    BindFailed,
    /// The call was cancelled because this process is stopping.
    Cancelled,
};

std::error_code make_error_code(PeerError error);

} // namespace Anvilyard::Peer

template<>
struct std::is_error_code_enum<Anvilyard::Peer::PeerError> : std::true_type {
};
