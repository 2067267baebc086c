#pragma once

#include "LibRules/RuleFault.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Rules {

/// Reads the keys and values of one rule's flow mapping by type and collects all faults of the line. After the last read,
/// finish() adds a fault for each key that was not read.
class RuleFields
{
public:
    RuleFields(std::string_view mapping, int line);
    ~RuleFields();
    RuleFields(RuleFields const &) = delete;
    RuleFields &operator=(RuleFields const &) = delete;

    /// Returns the first key, which names the kind of rule; empty if the mapping could not be parsed.
    [[nodiscard]] std::string const &firstKey() const;
    [[nodiscard]] bool contains(std::string const &key) const;

    enum class Wildcard {
        Refused,
        Allowed,
    };
    /// Reads a name of letters, digits and ". _ - / : @"; `"*"` is accepted only if the rule allows it.
    std::string readName(std::string const &key, Wildcard wildcard = Wildcard::Refused);
    /// Like readName(), but returns an empty name if the key is missing.
    std::string readOptionalName(std::string const &key);
    std::uint32_t readInteger(std::string const &key, std::uint32_t fallback, std::uint32_t minimum, std::uint32_t maximum);
    std::optional<double> readNumber(std::string const &key, double minimum, double maximum);
    std::string readText(std::string const &key);
    void addFault(std::string message, std::string hint);

    [[nodiscard]] std::vector<RuleFault> finish();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace Anvilyard::Rules
