#pragma once

#include "LibBatch/BatchError.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>
#include <vector>

namespace Anvilyard::Batch {

/// Reads the fields of a stored object and remembers the first error, so that codecs need no error handling per field.
class StoredJson
{
public:
    static Result<StoredJson> parse(std::string_view text);
    explicit StoredJson(boost::json::object object);

    std::string text(std::string_view key);
    std::uint64_t number(std::string_view key);
    std::uint32_t smallNumber(std::string_view key);
    WallInstant instant(std::string_view key);
    std::vector<std::uint32_t> numbers(std::string_view key);
    std::vector<std::string> texts(std::string_view key);
    boost::json::array const &array(std::string_view key);
    boost::json::object const &object(std::string_view key);

    /// Returns the first error, or an empty string.
    [[nodiscard]] std::string const &firstError() const;

    /// Returns the value, or BadStoredObject if a field was missing or of another type.
    template<typename Value>
    Result<Value> finish(Value value) const
    {
        if (!firstError_.empty())
            return failure(BatchError::BadStoredObject, firstError_);
        return value;
    }

private:
    boost::json::value const *find(std::string_view key, boost::json::kind kind);

    boost::json::object object_;
    std::string firstError_;
};

/// Returns the milliseconds since the epoch, which is the stored form of instants.
std::int64_t storedInstant(WallInstant instant);

template<typename Strong>
std::vector<Strong> toStrong(std::vector<std::string> const &texts)
{
    std::vector<Strong> strong;
    for (auto const &text : texts)
        strong.emplace_back(text);
    return strong;
}

template<typename Strong>
boost::json::array fromStrong(std::vector<Strong> const &strong)
{
    boost::json::array texts;
    for (auto const &value : strong)
        texts.emplace_back(value.value());
    return texts;
}

template<typename Value>
boost::json::array toArray(std::vector<Value> const &values)
{
    boost::json::array array;
    array.reserve(values.size());
    for (auto const &value : values)
        array.emplace_back(value);
    return array;
}

} // namespace Anvilyard::Batch
