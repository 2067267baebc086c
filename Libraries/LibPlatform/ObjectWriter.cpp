#include "LibPlatform/ObjectWriter.h"

#include "LibCore/Random.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <iomanip>
#include <sstream>

namespace Anvilyard::Platform {

WriterId writerOf(std::string_view spec)
{
    boost::system::error_code error;
    auto const value = boost::json::parse(boost::json::string_view(spec.data(), spec.size()), error);
    if (error || !value.is_object())
        return {};
    auto const *const writer = value.get_object().if_contains("writer");
    if (writer == nullptr || !writer->is_string())
        return {};
    auto const &text = writer->get_string();
    return WriterId(std::string(text.data(), text.size()));
}

WriterId makeWriterId(std::string_view process)
{
    thread_local RandomSource random = seedFromSystem();
    std::ostringstream text;
    text << process << '-' << std::hex << std::setfill('0') << std::setw(16) << random();
    return WriterId(text.str());
}

} // namespace Anvilyard::Platform
