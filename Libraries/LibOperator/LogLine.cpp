#include "LibOperator/LogLine.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>
#include <ctime>

namespace Anvilyard::Operator {

namespace json = boost::json;

namespace {

/// Parses a time such as `2026-05-18T23:19:27.496Z`.
std::optional<WallInstant> parseTime(std::string const &text)
{
    std::tm parts{};
    int milliseconds = 0;
    auto const read = std::sscanf(text.c_str(),
                                  "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ",
                                  &parts.tm_year,
                                  &parts.tm_mon,
                                  &parts.tm_mday,
                                  &parts.tm_hour,
                                  &parts.tm_min,
                                  &parts.tm_sec,
                                  &milliseconds);
    if (read != 7)
        return std::nullopt;
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return WallInstant(std::chrono::seconds(timegm(&parts)) + std::chrono::milliseconds(milliseconds));
}

std::string textOf(json::value const &value)
{
    if (auto const *text = value.if_string())
        return std::string(*text);
    return json::serialize(value);
}

} // namespace

std::string_view LogLine::field(std::string_view key) const
{
    auto const found = fields.find(key);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::uint64_t LogLine::number(std::string_view key) const
{
    std::uint64_t value = 0;
    auto const digits = field(key);
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

bool LogLine::hasValue(std::string_view value) const
{
    return std::any_of(fields.begin(), fields.end(), [&](auto const &field) { return field.second == value; });
}

std::optional<LogLine> parseLogLine(std::string_view text, std::string const &source)
{
    auto const start = text.find('{');
    if (start == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    auto const value = json::parse(json::string_view(text.data() + start, text.size() - start), error);
    auto const *object = error ? nullptr : value.if_object();
    if (!object)
        return std::nullopt;
    LogLine line{.instance = source};
    std::optional<WallInstant> time;
    for (auto const &[key, field] : *object) {
        auto content = textOf(field);
        if (key == "time")
            time = parseTime(content);
        else if (key == "name")
            line.name = std::move(content);
        else if (key == "instance")
            line.instance = std::move(content);
        else
            line.fields.emplace(std::string(key), std::move(content));
    }
    if (!time || line.name.empty())
        return std::nullopt;
    line.time = *time;
    return line;
}

std::string formatTimeOfDay(WallInstant time)
{
    auto const sinceEpoch = time.time_since_epoch().count();
    auto const ofDay = (sinceEpoch % 86'400'000 + 86'400'000) % 86'400'000;
    char text[16];
    std::snprintf(text,
                  sizeof(text),
                  "%02d:%02d:%02d.%03d",
                  static_cast<int>(ofDay / 3'600'000),
                  static_cast<int>(ofDay / 60'000 % 60),
                  static_cast<int>(ofDay / 1000 % 60),
                  static_cast<int>(ofDay % 1000));
    return text;
}

} // namespace Anvilyard::Operator
