#include "LibCore/Utf8.h"

#include <boost/locale/utf.hpp>

namespace Anvilyard {

bool isUtf8(std::string_view text)
{
    for (auto const *position = text.begin(); position != text.end();) {
        if (!boost::locale::utf::is_valid_codepoint(boost::locale::utf::utf_traits<char>::decode(position, text.end())))
            return false;
    }
    return true;
}

} // namespace Anvilyard
