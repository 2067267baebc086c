#include "LibService/SettingsReader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace Anvilyard::Service {

namespace {

/// A scalar or sequence from the file, stored under its dotted path.
struct SettingsValue {
    int line = 0;
    YAML::Node node;
    bool wasRead = false;
};

struct DurationUnit {
    std::string_view suffix;
    Duration unit;
};

// Ordered from the smallest unit to the largest. formatDuration() relies on this order.
constexpr DurationUnit DurationUnits[] = {{"us", 1us}, {"ms", 1ms}, {"s", 1s}, {"m", 1min}, {"h", 1h}};

std::optional<Duration> parseDuration(std::string const &text)
{
    std::int64_t amount = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (error != std::errc{} || amount < 0)
        return std::nullopt;
    std::string_view const suffix(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (auto const &[name, unit] : DurationUnits) {
        if (suffix == name && amount <= Duration::max() / unit)
            return amount * unit;
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (auto unit = std::rbegin(DurationUnits); unit != std::rend(DurationUnits); ++unit) {
        if (duration.count() % unit->unit.count() == 0)
            return std::to_string(duration / unit->unit) + std::string(unit->suffix);
    }
    return std::to_string(duration.count()) + "us";
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc{} && end == text.data() + text.size() && port <= 65535;
}

/// Whether the text is an IP address and port. Host names are not accepted, because instances address each other by IP address.
bool isAddress(std::string const &text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || !isPort(std::string_view(text).substr(colon + 1)))
        return false;
    auto const host = text.substr(0, colon);
    if (host.front() == '[')
        return host.back() == ']' && host.size() > 3;
    return host.find_first_not_of("0123456789.") == std::string::npos && std::count(host.begin(), host.end(), '.') == 3;
}

} // namespace

std::string SettingsError::toString() const
{
    auto text = file;
    if (line > 0)
        text += ":" + std::to_string(line);
    if (!key.empty())
        text += ": " + key;
    return text + ": " + message;
}

struct SettingsReader::State {
    std::string file;
    std::map<std::string, SettingsValue> values;
    std::vector<SettingsError> errors;

    void addError(int line, std::string const &key, std::string message)
    {
        errors.push_back({.file = file, .line = line, .key = key, .message = std::move(message)});
    }

    void flatten(YAML::Node const &node, std::string const &path)
    {
        std::set<std::string> seen;
        for (auto const &entry : node) {
            auto const name = entry.first.Scalar();
            auto const key = path.empty() ? name : path + "." + name;
            auto const line = entry.first.Mark().line + 1;
            if (!seen.insert(name).second)
                addError(line, key, "duplicate key");
            else if (entry.second.IsMap())
                flatten(entry.second, key);
            else
                values[key] = {.line = line, .node = entry.second};
        }
    }

    void load(std::string const &text)
    {
        try {
            auto const root = YAML::Load(text);
            if (root.IsMap())
                flatten(root, "");
            else if (!root.IsNull())
                addError(1, "", "the file must be a mapping of keys to values");
        } catch (YAML::Exception const &exception) {
            addError(exception.mark.line + 1, "", "invalid YAML: " + exception.msg);
        }
    }

    /// Returns the value of a key, or `nullptr` if it is missing. Adds an error if a missing key is required.
    SettingsValue *find(std::string const &key, bool required)
    {
        auto const found = values.find(key);
        if (found == values.end()) {
            if (required)
                addError(0, key, "the key is missing");
            return nullptr;
        }
        found->second.wasRead = true;
        return &found->second;
    }

    /// Reads a scalar and converts it. `expected` describes the type in the error message.
    template<typename Value, typename Convert>
    Value readScalar(std::string const &key, std::optional<Value> const &fallback, std::string const &expected, Convert convert)
    {
        auto const *value = find(key, !fallback.has_value());
        if (!value)
            return fallback.value_or(Value{});
        std::optional<Value> converted;
        if (value->node.IsScalar())
            converted = convert(value->node);
        if (!converted) {
            addError(value->line, key, "expected " + expected);
            return fallback.value_or(Value{});
        }
        return *converted;
    }
};

SettingsReader::SettingsReader(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

SettingsReader::~SettingsReader() = default;
SettingsReader::SettingsReader(SettingsReader &&) noexcept = default;

SettingsReader SettingsReader::fromFile(std::string const &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    if (stream)
        text << stream.rdbuf();
    if (!stream) {
        auto state = std::make_unique<State>();
        state->file = path;
        state->addError(0, "", "the file cannot be read");
        return SettingsReader(std::move(state));
    }
    return fromText(text.str(), path);
}

SettingsReader SettingsReader::fromText(std::string const &text, std::string const &name)
{
    auto state = std::make_unique<State>();
    state->file = name;
    state->load(text);
    return SettingsReader(std::move(state));
}

std::string SettingsReader::readString(std::string const &key, std::optional<std::string> fallback)
{
    return state_->readScalar<std::string>(key, fallback, "a string", [](YAML::Node const &node) { return std::optional(node.Scalar()); });
}

std::int64_t SettingsReader::readInteger(std::string const &key, std::optional<std::int64_t> fallback, IntegerRange range)
{
    auto const expected = "an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max);
    return state_->readScalar<std::int64_t>(key, fallback, expected, [&](YAML::Node const &node) -> std::optional<std::int64_t> {
        std::int64_t number = 0;
        if (!YAML::convert<std::int64_t>::decode(node, number) || number < range.min || number > range.max)
            return std::nullopt;
        return number;
    });
}

double SettingsReader::readNumber(std::string const &key, std::optional<double> fallback, double min, double max)
{
    std::ostringstream expected;
    expected << "a number from " << min << " to " << max;
    return state_->readScalar<double>(key, fallback, expected.str(), [&](YAML::Node const &node) -> std::optional<double> {
        double number = 0;
        // The negated comparison also rejects NaN.
        if (!YAML::convert<double>::decode(node, number) || !(number >= min && number <= max))
            return std::nullopt;
        return number;
    });
}

bool SettingsReader::readFlag(std::string const &key, std::optional<bool> fallback)
{
    return state_->readScalar<bool>(key, fallback, "true or false", [](YAML::Node const &node) -> std::optional<bool> {
        bool flag = false;
        return YAML::convert<bool>::decode(node, flag) ? std::optional(flag) : std::nullopt;
    });
}

Duration SettingsReader::readDuration(std::string const &key, std::optional<Duration> fallback, DurationRange range)
{
    auto const expected = "a duration such as 250ms from " + formatDuration(range.min) + " to " + formatDuration(range.max);
    return state_->readScalar<Duration>(key, fallback, expected, [&](YAML::Node const &node) -> std::optional<Duration> {
        auto const duration = parseDuration(node.Scalar());
        return duration && *duration >= range.min && *duration <= range.max ? duration : std::nullopt;
    });
}

Address SettingsReader::readAddress(std::string const &key, std::optional<Address> fallback)
{
    return state_->readScalar<Address>(key, fallback, "an IP address and port such as 127.0.0.1:8080", [](YAML::Node const &node) {
        return isAddress(node.Scalar()) ? std::optional(Address(node.Scalar())) : std::nullopt;
    });
}

std::vector<std::string> SettingsReader::readStrings(std::string const &key, std::vector<std::string> fallback)
{
    auto const *value = state_->find(key, false);
    if (!value)
        return fallback;
    std::vector<std::string> strings;
    if (value->node.IsSequence() && YAML::convert<std::vector<std::string>>::decode(value->node, strings))
        return strings;
    state_->addError(value->line, key, "expected a list of strings");
    return fallback;
}

std::string SettingsReader::readSecretFile(std::string const &key)
{
    auto const path = readString(key, "");
    if (path.empty())
        return {};
    std::ifstream stream(path);
    std::string secret;
    // The error message must never contain the secret itself.
    if (!std::getline(stream, secret) || secret.empty())
        addError(key, "the secret file cannot be read or is empty");
    return secret;
}

void SettingsReader::addError(std::string const &key, std::string message)
{
    auto const found = state_->values.find(key);
    state_->addError(found == state_->values.end() ? 0 : found->second.line, key, std::move(message));
}

std::vector<SettingsError> SettingsReader::finish()
{
    auto errors = state_->errors;
    for (auto const &[key, value] : state_->values) {
        if (!value.wasRead)
            errors.push_back({.file = state_->file, .line = value.line, .key = key, .message = "unknown key"});
    }
    std::stable_sort(errors.begin(), errors.end(), [](auto const &left, auto const &right) { return left.line < right.line; });
    return errors;
}

} // namespace Anvilyard::Service
