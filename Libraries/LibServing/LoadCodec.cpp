#include "LibServing/LoadCodec.h"

namespace Anvilyard::Serving {

namespace json = boost::json;

json::array encodeLoad(LoadByServer const &load)
{
    json::array encoded;
    encoded.reserve(load.size());
    for (auto const &[server, count] : load)
        encoded.push_back(json::array{server.value(), count.online, count.batch});
    return encoded;
}

LoadByServer decodeLoad(json::value const &value)
{
    LoadByServer load;
    for (auto const &entry : value.as_array()) {
        auto const &fields = entry.as_array();
        load[ServerId(std::string(fields.at(0).as_string()))] = {
            .online = fields.at(1).to_number<std::uint32_t>(),
            .batch = fields.at(2).to_number<std::uint32_t>(),
        };
    }
    return load;
}

} // namespace Anvilyard::Serving
