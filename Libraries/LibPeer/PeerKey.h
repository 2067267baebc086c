#pragma once

#include <string>
#include <string_view>

namespace Anvilyard::Peer {

/// SHA-256 of the fleet's shared key, as sent with calls. It has a fixed length, and the key itself never leaves the process.
class PeerKey
{
public:
    /// An empty key means a fleet without a key, in which every call is accepted.
    explicit PeerKey(std::string_view sharedKey);

    [[nodiscard]] bool isEmpty() const;
    /// Value sent in the call metadata.
    [[nodiscard]] std::string const &proof() const;
    /// Compares in constant time.
    [[nodiscard]] bool accepts(std::string_view proof) const;

private:
    std::string proof_;
};

} // namespace Anvilyard::Peer
