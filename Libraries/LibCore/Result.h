#pragma once

#include <string>
#include <system_error>

#include <tl/expected.hpp>

namespace Anvilyard {

/// The error code of a layer with the details that are needed to act on it.
struct Error {
    std::error_code code;
    std::string detail;

    [[nodiscard]] std::string toString() const
    {
        return detail.empty() ? code.message() : code.message() + ": " + detail;
    }
};

/// The return type of functions that can fail.
template<typename Value>
using Result = tl::expected<Value, Error>;

/// Creates the error value of a Result.
template<typename Code>
tl::unexpected<Error> failure(Code code, std::string detail = {})
{
    return tl::unexpected<Error>(Error{.code = make_error_code(code), .detail = std::move(detail)});
}

} // namespace Anvilyard
