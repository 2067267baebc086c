#include "LibJobs/Base64.h"

#include "LibJobs/JobsError.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace Anvilyard::Jobs {

namespace iterators = boost::archive::iterators;

namespace {

constexpr std::size_t QuantumBytes = 3;
constexpr std::size_t QuantumLetters = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    using Encode = iterators::base64_from_binary<iterators::transform_width<char const *, 6, 8>>;
    std::string text(Encode(bytes.data()), Encode(bytes.data() + bytes.size()));
    text.append((QuantumBytes - bytes.size() % QuantumBytes) % QuantumBytes, '=');
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
try {
    using Decode = iterators::transform_width<iterators::binary_from_base64<char const *>, 8, 6>;
    if (text.size() % QuantumLetters != 0)
        return failure(JobsError::BadBase64, "its length is not a multiple of four");
    auto const letters = text.substr(0, text.find_last_not_of('=') + 1);
    if (text.size() - letters.size() >= QuantumBytes)
        return failure(JobsError::BadBase64, "too much padding");
    // Boost accepts a padding character at any position as a letter.
    if (letters.find('=') != std::string_view::npos)
        return failure(JobsError::BadBase64, "padding before the end");
    auto const size = letters.size() * QuantumBytes / QuantumLetters;
    std::string bytes;
    bytes.reserve(size);
    Decode next(letters.data());
    for (std::size_t index = 0; index < size; ++index, ++next)
        bytes.push_back(*next);
    return bytes;
} catch (iterators::dataflow_exception const &exception) {
    return failure(JobsError::BadBase64, exception.what());
}

} // namespace Anvilyard::Jobs
