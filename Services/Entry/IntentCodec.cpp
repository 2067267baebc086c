#include "Services/Entry/IntentCodec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace Anvilyard::Entry {

namespace json = boost::json;
using Routing::IntentRecord;

namespace {

std::string_view stateName(IntentRecord::State state)
{
    switch (state) {
    case IntentRecord::State::Begun:
        return "begun";
    case IntentRecord::State::Finished:
        return "finished";
    case IntentRecord::State::FinishedUnkept:
        return "finished-unkept";
    }
    return "begun";
}

std::optional<IntentRecord::State> readState(std::string_view name)
{
    for (auto const state : {IntentRecord::State::Begun, IntentRecord::State::Finished, IntentRecord::State::FinishedUnkept}) {
        if (stateName(state) == name)
            return state;
    }
    return std::nullopt;
}

} // namespace

std::string encodeIntent(IntentRecord const &record)
{
    json::object object = {{"writer", record.writer},
                           {"digest", record.digest},
                           {"state", stateName(record.state)},
                           {"keep_until", record.keepUntil.time_since_epoch().count()}};
    if (record.state == IntentRecord::State::Finished) {
        object["status"] = record.status;
        object["content_type"] = record.contentType;
        object["body"] = record.body;
    }
    return json::serialize(object);
}

std::optional<IntentRecord> decodeIntent(std::string_view text)
{
    try {
        auto const value = json::parse(text);
        auto const &object = value.as_object();
        auto const state = readState(object.at("state").as_string());
        if (!state)
            return std::nullopt;
        IntentRecord record{.writer = json::value_to<std::string>(object.at("writer")),
                            .digest = json::value_to<std::string>(object.at("digest")),
                            .state = *state,
                            .keepUntil = WallInstant(std::chrono::milliseconds(json::value_to<std::int64_t>(object.at("keep_until"))))};
        if (record.state == IntentRecord::State::Finished) {
            record.status = json::value_to<int>(object.at("status"));
            record.contentType = json::value_to<std::string>(object.at("content_type"));
            record.body = json::value_to<std::string>(object.at("body"));
        }
        return record;
    } catch (std::exception const &) {
        return std::nullopt;
    }
}

} // namespace Anvilyard::Entry
