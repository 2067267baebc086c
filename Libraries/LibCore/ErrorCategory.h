#pragma once

#include <string>
#include <system_error>

namespace Anvilyard {

/// An error category whose messages come from a function. Each layer creates one with its own name.
class ErrorCategory final : public std::error_category
{
public:
    using Describe = char const *(*)(int value);

    constexpr ErrorCategory(char const *name, Describe describe)
        : name_(name)
        , describe_(describe)
    {
    }

    [[nodiscard]] char const *name() const noexcept override
    {
        return name_;
    }

    [[nodiscard]] std::string message(int value) const override
    {
        return describe_(value);
    }

private:
    char const *name_;
    Describe describe_;
};

} // namespace Anvilyard
