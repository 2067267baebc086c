#include "Services/Entry/CallerIdentifier.h"

#include "Services/Entry/Refusals.h"

#include <array>
#include <openssl/evp.h>

namespace Anvilyard::Entry {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int index = 0; index < size; ++index) {
        hex += Digits[digest[index] >> 4];
        hex += Digits[digest[index] & 0x0F];
    }
    return hex;
}

std::optional<CustomerId> identifyCaller(EntryView const &view, Http::Headers const &headers)
{
    static constexpr std::string_view Scheme = "Bearer ";
    auto const authorization = headers.find("Authorization");
    if (!authorization || authorization->size() <= Scheme.size())
        return std::nullopt;
    if (!Http::equalsIgnoringCase(authorization->substr(0, Scheme.size()), Scheme))
        return std::nullopt;
    auto const *customer = view.findCustomer(sha256Hex(authorization->substr(Scheme.size())));
    return customer ? std::optional(*customer) : std::nullopt;
}

void CallerIdentifier::handle(OnlineRequestPointer request, Next const &next)
{
    auto customer = identifyCaller(*request->view, request->http.headers);
    if (!customer)
        return request->refuse(Refusals::unknownCaller());
    request->customer = std::move(*customer);
    next(std::move(request));
}

} // namespace Anvilyard::Entry
