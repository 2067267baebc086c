#include "LibRules/RuleFields.h"

#include <algorithm>
#include <charconv>
#include <yaml-cpp/yaml.h>

namespace Anvilyard::Rules {

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::string_view MappingHint = "write one flow mapping, such as {leaving: engine-3}  # asked by NAME: reason";

struct RuleField {
    std::string key;
    std::string value;
    bool wasRead = false;
};

bool isNameCharacter(char character)
{
    auto const isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    auto const isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || std::string_view("._-/:@").find(character) != std::string_view::npos;
}

bool isName(std::string const &text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

template<typename Number>
std::optional<Number> parseNumber(std::string const &text)
{
    Number number{};
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string formatNumber(double number)
{
    char text[32];
    auto const end = std::to_chars(std::begin(text), std::end(text), number).ptr;
    return {std::begin(text), end};
}

} // namespace

struct RuleFields::State {
    int line = 0;
    std::vector<RuleField> fields;
    std::vector<RuleFault> faults;
    std::string firstKey;

    void addFault(std::string message, std::string hint)
    {
        faults.push_back({.line = line, .message = std::move(message), .hint = std::move(hint)});
    }

    void load(std::string_view mapping)
    {
        // YAML would also accept several documents or block values on one line, so only a flow mapping is accepted.
        if (!mapping.starts_with('{') || !mapping.ends_with('}')) {
            addFault("not a flow mapping", std::string(MappingHint));
            return;
        }
        try {
            auto const documents = YAML::LoadAll(std::string(mapping));
            if (documents.size() == 1)
                addFields(documents.front());
            else
                addFault("more than one mapping on the line", std::string(MappingHint));
        } catch (YAML::Exception const &exception) {
            addFault("invalid YAML: " + exception.msg, "quote values that contain * or other special characters");
        }
    }

    void addFields(YAML::Node const &node)
    {
        if (!node.IsMap() || node.size() == 0) {
            addFault("not a flow mapping", std::string(MappingHint));
            return;
        }
        for (auto const &entry : node) {
            if (!entry.first.IsScalar() || !entry.second.IsScalar()) {
                addFault("values must be scalars, not lists or mappings", "use a word or number for each value");
                continue;
            }
            addField(entry.first.Scalar(), entry.second.Scalar());
        }
    }

    void addField(std::string const &key, std::string const &value)
    {
        if (firstKey.empty())
            firstKey = key;
        if (find(key) != nullptr)
            addFault("key " + key + " is duplicated", "keep one of them");
        else
            fields.push_back({.key = key, .value = value});
    }

    RuleField *find(std::string const &key)
    {
        auto const found = std::find_if(fields.begin(), fields.end(), [&](auto const &field) { return field.key == key; });
        return found == fields.end() ? nullptr : &*found;
    }

    std::string const *take(std::string const &key)
    {
        auto *field = find(key);
        if (field == nullptr)
            return nullptr;
        field->wasRead = true;
        return &field->value;
    }
};

RuleFields::RuleFields(std::string_view mapping, int line)
    : state_(std::make_unique<State>())
{
    state_->line = line;
    state_->load(mapping);
}

RuleFields::~RuleFields() = default;

std::string const &RuleFields::firstKey() const
{
    return state_->firstKey;
}

bool RuleFields::contains(std::string const &key) const
{
    return state_->find(key) != nullptr;
}

std::string RuleFields::readName(std::string const &key, Wildcard wildcard)
{
    auto const *value = state_->take(key);
    if (value == nullptr) {
        addFault("key " + key + " is missing", "add " + key + ": NAME");
        return {};
    }
    if (isName(*value) || (wildcard == Wildcard::Allowed && *value == "*"))
        return *value;
    addFault(key + ": '" + *value + "' is not a valid name", "use up to 128 letters, digits and . _ - / : @");
    return {};
}

std::string RuleFields::readOptionalName(std::string const &key)
{
    return contains(key) ? readName(key) : std::string();
}

std::uint32_t RuleFields::readInteger(std::string const &key, std::uint32_t fallback, std::uint32_t minimum, std::uint32_t maximum)
{
    auto const *value = state_->take(key);
    if (value == nullptr)
        return fallback;
    auto const number = parseNumber<std::uint32_t>(*value);
    if (number && *number >= minimum && *number <= maximum)
        return *number;
    addFault(key + ": '" + *value + "' is out of range",
             "use an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

std::optional<double> RuleFields::readNumber(std::string const &key, double minimum, double maximum)
{
    auto const *value = state_->take(key);
    if (value == nullptr)
        return std::nullopt;
    auto const number = parseNumber<double>(*value);
    if (number && *number >= minimum && *number <= maximum)
        return number;
    addFault(key + ": '" + *value + "' is out of range", "use a number from " + formatNumber(minimum) + " to " + formatNumber(maximum));
    return std::nullopt;
}

std::string RuleFields::readText(std::string const &key)
{
    auto const *value = state_->take(key);
    return value == nullptr ? std::string() : *value;
}

void RuleFields::addFault(std::string message, std::string hint)
{
    state_->addFault(std::move(message), std::move(hint));
}

std::vector<RuleFault> RuleFields::finish()
{
    for (auto const &field : state_->fields) {
        if (!field.wasRead)
            addFault("unknown key " + field.key, "see the rules reference for the keys of " + state_->firstKey);
    }
    return std::move(state_->faults);
}

} // namespace Anvilyard::Rules
