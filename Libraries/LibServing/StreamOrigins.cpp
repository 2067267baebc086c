#include "LibServing/StreamOrigins.h"

#include "LibServing/ServingError.h"

#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view FirstKey = R"({"begun":)";

} // namespace

StreamOrigins::StreamOrigins(StreamOriginsOptions options)
    : options_(options)
{
}

void StreamOrigins::onBegun(RequestId const &stream, StreamOrigin origin, Instant now)
{
    if (origins_.insert_or_assign(stream, std::move(origin)).second)
        begun_.emplace_back(now, stream);
    while (!begun_.empty() && (begun_.size() > options_.maxStreams || now - begun_.front().first >= options_.retention)) {
        origins_.erase(begun_.front().second);
        begun_.pop_front();
    }
}

std::optional<StreamOrigin> StreamOrigins::find(RequestId const &stream) const
{
    auto const found = origins_.find(stream);
    return found == origins_.end() ? std::nullopt : std::optional(found->second);
}

std::size_t StreamOrigins::size() const
{
    return origins_.size();
}

std::string encodeStreamBegin(RequestId const &stream, StreamOrigin const &origin)
{
    return json::serialize(json::object{{"begun", stream.value()}, {"pool", origin.pool.value()}, {"version", origin.version.value()}});
}

bool isStreamBegin(std::string_view text)
{
    return text.starts_with(FirstKey);
}

Result<std::pair<RequestId, StreamOrigin>> decodeStreamBegin(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const string = [&](char const *key) { return std::string(value.as_object().at(key).as_string()); };
    return std::pair(RequestId(string("begun")),
                     StreamOrigin{.pool = PoolName(string("pool")), .version = SoftwareVersion(string("version"))});
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
