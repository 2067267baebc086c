#include "LibRules/RuleSetObject.h"

#include "LibRules/RulesError.h"

#include <array>
#include <charconv>
#include <cstdio>

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace Anvilyard::Rules {

namespace {

constexpr std::string_view NamePrefix = "ruleset-";
constexpr std::size_t NameDigits = 8;

std::string readString(boost::json::object const &object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

Generation readGeneration(boost::json::object const &object, std::string_view key)
{
    return Generation(object.at(key).to_number<std::uint64_t>());
}

AcceptedRules readObject(boost::json::object const &object)
{
    return AcceptedRules{
        .generation = readGeneration(object, "generation"),
        .base = readGeneration(object, "base"),
        .author = readString(object, "author"),
        .text = readString(object, "text"),
        .digest = readString(object, "digest"),
        .writer = readString(object, "writer"),
        .acceptedAt = WallInstant(std::chrono::milliseconds(object.at("accepted_at").to_number<std::int64_t>())),
    };
}

} // namespace

std::string ruleSetName(Generation generation)
{
    char name[32];
    std::snprintf(name, sizeof name, "ruleset-%08llu", static_cast<unsigned long long>(generation.value()));
    return name;
}

std::optional<Generation> generationOfName(std::string_view name)
{
    if (!name.starts_with(NamePrefix))
        return std::nullopt;
    auto const digits = name.substr(NamePrefix.size());
    std::uint64_t number = 0;
    auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size() || digits.size() < NameDigits)
        return std::nullopt;
    return Generation(number);
}

std::string encodeRuleSet(AcceptedRules const &rules)
{
    return boost::json::serialize(boost::json::object{
        {"generation", rules.generation.value()},
        {"base", rules.base.value()},
        {"author", rules.author},
        {"text", rules.text},
        {"digest", rules.digest},
        {"writer", rules.writer},
        {"accepted_at", rules.acceptedAt.time_since_epoch().count()},
    });
}

Result<AcceptedRules> decodeRuleSet(std::string_view spec)
{
    try {
        auto const rules = readObject(boost::json::parse(spec).as_object());
        if (rules.digest != rulesDigest(rules.text))
            return failure(RulesError::InvalidRuleSetObject, "the digest does not match the text");
        return rules;
    } catch (std::exception const &exception) {
        return failure(RulesError::InvalidRuleSetObject, exception.what());
    }
}

std::string rulesDigest(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view Hex = "0123456789abcdef";
    std::string hexText;
    for (unsigned int byte = 0; byte < size; ++byte) {
        hexText.push_back(Hex[digest[byte] >> 4U]);
        hexText.push_back(Hex[digest[byte] & 0xfU]);
    }
    return hexText;
}

} // namespace Anvilyard::Rules
