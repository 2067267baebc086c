#include "LibPeer/PeerError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Peer {

namespace {

char const *describe(int value)
{
    switch (static_cast<PeerError>(value)) {
    case PeerError::Unreachable:
        return "the peer could not be reached";
    case PeerError::TimedOut:
        return "the peer did not respond before the deadline";
    case PeerError::KeyRejected:
        return "the peer rejected the shared key";
    case PeerError::MessageTooLarge:
        return "the message is too large";
    case PeerError::InvalidResponse:
        return "the peer returned an unexpected status";
    case PeerError::BindFailed:
        return "the listening address could not be bound";
    case PeerError::Cancelled:
        return "the call was cancelled";
    }
    return "unknown error";
}

} // namespace

std::error_code make_error_code(PeerError error)
{
    static ErrorCategory const category("peer", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Peer
