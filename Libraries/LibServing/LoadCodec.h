#pragma once

#include "LibServing/PeerReport.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace Anvilyard::Serving {

/// Encodes load as an array of [server, online, batch].
boost::json::array encodeLoad(LoadByServer const &load);
/// Throws an exception of Boost.JSON or the standard library if the value is not an encoded load.
LoadByServer decodeLoad(boost::json::value const &value);

} // namespace Anvilyard::Serving
