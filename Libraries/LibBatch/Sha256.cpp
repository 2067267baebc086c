#include "LibBatch/Sha256.h"

#include <array>
#include <openssl/evp.h>

namespace Anvilyard::Batch {

struct Sha256::Context {
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> digest{EVP_MD_CTX_new(), EVP_MD_CTX_free};
};

Sha256::Sha256()
    : context_(std::make_unique<Context>())
{
    EVP_DigestInit_ex(context_->digest.get(), EVP_sha256(), nullptr);
}

Sha256::~Sha256() = default;

void Sha256::add(std::string_view text)
{
    EVP_DigestUpdate(context_->digest.get(), text.data(), text.size());
}

std::string Sha256::finish()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    EVP_DigestFinal_ex(context_->digest.get(), bytes.data(), &size);
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int index = 0; index < size; ++index) {
        hex += Digits[bytes.at(index) >> 4U];
        hex += Digits[bytes.at(index) & 15U];
    }
    return hex;
}

std::string sha256Hex(std::string_view text)
{
    Sha256 digest;
    digest.add(text);
    return digest.finish();
}

} // namespace Anvilyard::Batch
