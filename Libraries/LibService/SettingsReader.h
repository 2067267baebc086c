#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Service {

/// One error in a settings file.
struct SettingsError {
    std::string file;
    /// Line number starting from 1, or 0 if the error has no position, for example because a key is missing.
    int line = 0;
    std::string key;
    std::string message;

    [[nodiscard]] std::string toString() const;
};

struct IntegerRange {
    std::int64_t min = 0;
    std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

struct DurationRange {
    Duration min{0};
    Duration max = std::chrono::hours(24);
};

/// Reads typed values from a YAML file and collects all errors, so that an operator sees all of them at once. Keys are dotted paths
/// ("platform.address"). A key without a fallback is required.
class SettingsReader
{
public:
    static SettingsReader fromFile(std::string const &path);
    static SettingsReader fromText(std::string const &text, std::string const &name);
    ~SettingsReader();
    SettingsReader(SettingsReader &&) noexcept;

    std::string readString(std::string const &key, std::optional<std::string> fallback = std::nullopt);
    std::int64_t readInteger(std::string const &key, std::optional<std::int64_t> fallback, IntegerRange range = {});
    double readNumber(std::string const &key, std::optional<double> fallback, double min, double max);
    bool readFlag(std::string const &key, std::optional<bool> fallback);
    /// Reads a duration such as "250ms", "2s", "5m" or "1h".
    Duration readDuration(std::string const &key, std::optional<Duration> fallback, DurationRange range = {});
    Address readAddress(std::string const &key, std::optional<Address> fallback = std::nullopt);
    std::vector<std::string> readStrings(std::string const &key, std::vector<std::string> fallback);
    /// Reads the first line of the file that the key names, for secrets that are not stored in the settings. Returns an empty string if
    /// the key is missing.
    std::string readSecretFile(std::string const &key);
    /// Adds an error found by the program itself, such as a conflict between two keys.
    void addError(std::string const &key, std::string message);

    /// Returns all errors, or an empty list if the settings are valid. Must be called after the last read, because it reports keys that
    /// have not been read as unknown.
    [[nodiscard]] std::vector<SettingsError> finish();

private:
    struct State;
    explicit SettingsReader(std::unique_ptr<State> state);
    std::unique_ptr<State> state_;
};

} // namespace Anvilyard::Service
