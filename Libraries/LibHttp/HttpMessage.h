#pragma once

#include "LibCore/Time.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Http {

struct Header {
    std::string name;
    std::string value;
};

/// Header fields in order of arrival. Names are compared without case.
class Headers
{
public:
    Headers() = default;
    Headers(std::initializer_list<Header> fields);

    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] bool contains(std::string_view name) const;
    /// Adds a field and keeps existing fields of the same name.
    void append(Header field);
    /// Replaces all fields of that name.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    [[nodiscard]] std::vector<Header> const &fields() const;

private:
    std::vector<Header> fields_;
};

struct HttpRequest {
    std::string method;
    /// Path and query as sent by the caller.
    std::string target;
    Headers headers;
    std::string body;

    [[nodiscard]] std::string_view path() const;
    /// Returns the decoded value of a query parameter, or `std::nullopt` if it is missing or the target is invalid.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

/// Status and headers of a response. The body is delivered separately.
struct ResponseHead {
    int status = 0;
    Headers headers;
};

struct HttpResponse {
    int status = 200;
    Headers headers;
    std::string body;
};

/// Compares header names and other ASCII tokens without case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

} // namespace Anvilyard::Http
