#include "LibBatch/StoredJson.h"

#include <limits>

namespace Anvilyard::Batch {

Result<StoredJson> StoredJson::parse(std::string_view text)
{
    boost::system::error_code error;
    auto value = boost::json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return failure(BatchError::BadStoredObject, "not a JSON object");
    return StoredJson(std::move(value.as_object()));
}

StoredJson::StoredJson(boost::json::object object)
    : object_(std::move(object))
{
}

boost::json::value const *StoredJson::find(std::string_view key, boost::json::kind kind)
{
    auto const *value = object_.if_contains({key.data(), key.size()});
    if (value && value->kind() == kind)
        return value;
    if (firstError_.empty())
        firstError_ = "field " + std::string(key);
    return nullptr;
}

std::string StoredJson::text(std::string_view key)
{
    auto const *value = find(key, boost::json::kind::string);
    return value ? std::string(value->get_string()) : std::string();
}

std::uint64_t StoredJson::number(std::string_view key)
{
    auto const *value = find(key, boost::json::kind::int64);
    if (!value || value->get_int64() >= 0)
        return value ? static_cast<std::uint64_t>(value->get_int64()) : 0;
    firstError_ = "field " + std::string(key);
    return 0;
}

std::uint32_t StoredJson::smallNumber(std::string_view key)
{
    auto const value = number(key);
    if (value > std::numeric_limits<std::uint32_t>::max())
        firstError_ = "field " + std::string(key);
    return static_cast<std::uint32_t>(value);
}

WallInstant StoredJson::instant(std::string_view key)
{
    auto const *value = find(key, boost::json::kind::int64);
    return value ? WallInstant(std::chrono::milliseconds(value->get_int64())) : WallInstant();
}

std::vector<std::uint32_t> StoredJson::numbers(std::string_view key)
{
    std::vector<std::uint32_t> numbers;
    for (auto const &value : array(key)) {
        if (value.is_int64() && value.get_int64() >= 0 && value.get_int64() <= std::numeric_limits<std::uint32_t>::max())
            numbers.push_back(static_cast<std::uint32_t>(value.get_int64()));
        else
            firstError_ = "field " + std::string(key);
    }
    return numbers;
}

std::vector<std::string> StoredJson::texts(std::string_view key)
{
    std::vector<std::string> texts;
    for (auto const &value : array(key)) {
        if (value.is_string())
            texts.emplace_back(value.get_string());
        else
            firstError_ = "field " + std::string(key);
    }
    return texts;
}

boost::json::array const &StoredJson::array(std::string_view key)
{
    static boost::json::array const none;
    auto const *value = find(key, boost::json::kind::array);
    return value ? value->get_array() : none;
}

boost::json::object const &StoredJson::object(std::string_view key)
{
    static boost::json::object const none;
    auto const *value = find(key, boost::json::kind::object);
    return value ? value->get_object() : none;
}

std::string const &StoredJson::firstError() const
{
    return firstError_;
}

std::int64_t storedInstant(WallInstant instant)
{
    return instant.time_since_epoch().count();
}

} // namespace Anvilyard::Batch
