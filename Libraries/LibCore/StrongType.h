#pragma once

#include <compare>
#include <concepts>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Anvilyard {

/// A value type that does not convert to other types of the same representation. Each Tag gives a distinct type.
template<typename Tag, typename Value>
class StrongType
{
public:
    using ValueType = Value;

    StrongType() = default;

    explicit StrongType(Value value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] Value const &value() const
    {
        return value_;
    }

    auto operator<=>(StrongType const &) const = default;
    bool operator==(StrongType const &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, StrongType const &strong)
    {
        return stream << strong.value_;
    }

private:
    Value value_{};
};

} // namespace Anvilyard

template<typename Tag, typename Value>
struct std::hash<Anvilyard::StrongType<Tag, Value>> {
    std::size_t operator()(Anvilyard::StrongType<Tag, Value> const &strong) const noexcept
    {
        return std::hash<Value>{}(strong.value());
    }
};
