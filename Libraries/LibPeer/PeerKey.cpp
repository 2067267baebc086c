#include "LibPeer/PeerKey.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace Anvilyard::Peer {

PeerKey::PeerKey(std::string_view sharedKey)
{
    if (sharedKey.empty())
        return;
    std::array<char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(sharedKey.data(), sharedKey.size(), reinterpret_cast<unsigned char *>(digest.data()), &size, EVP_sha256(), nullptr);
    proof_.assign(digest.data(), size);
}

bool PeerKey::isEmpty() const
{
    return proof_.empty();
}

std::string const &PeerKey::proof() const
{
    return proof_;
}

bool PeerKey::accepts(std::string_view proof) const
{
    if (isEmpty())
        return true;
    return proof.size() == proof_.size() && CRYPTO_memcmp(proof.data(), proof_.data(), proof_.size()) == 0;
}

} // namespace Anvilyard::Peer
