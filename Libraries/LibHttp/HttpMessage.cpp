#include "LibHttp/HttpMessage.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace Anvilyard::Http {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

Headers::Headers(std::initializer_list<Header> fields)
    : fields_(fields)
{
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (auto const &field : fields_) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool Headers::contains(std::string_view name) const
{
    return find(name).has_value();
}

void Headers::append(Header field)
{
    fields_.push_back(std::move(field));
}

void Headers::set(std::string_view name, std::string value)
{
    remove(name);
    append({std::string(name), std::move(value)});
}

void Headers::remove(std::string_view name)
{
    std::erase_if(fields_, [&](Header const &field) { return equalsIgnoringCase(field.name, name); });
}

std::vector<Header> const &Headers::fields() const
{
    return fields_;
}

std::string_view HttpRequest::path() const
{
    std::string_view const fullTarget = target;
    return fullTarget.substr(0, fullTarget.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    auto const parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return std::nullopt;
    for (auto const &parameter : parsed->params()) {
        if (parameter.key == name)
            return std::string(parameter.value);
    }
    return std::nullopt;
}

} // namespace Anvilyard::Http
