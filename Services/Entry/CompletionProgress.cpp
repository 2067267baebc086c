#include "Services/Entry/CompletionProgress.h"

#include <boost/json/parse.hpp>

namespace Anvilyard::Entry {

namespace {

std::string readCompletionId(std::string_view data)
{
    boost::system::error_code error;
    auto const value = boost::json::parse(data, error);
    auto const *object = error ? nullptr : value.if_object();
    auto const *id = object ? object->if_contains("id") : nullptr;
    return id && id->is_string() ? std::string(id->get_string()) : std::string();
}

/// Whether an event carries a token. Searching for the field name is far cheaper than parsing each event. It finds no false matches,
/// because the quotes would be escaped inside a JSON string.
bool hasToken(std::string_view data)
{
    for (std::string_view const field : {"\"content\":", "\"text\":"}) {
        auto const found = data.find(field);
        if (found == std::string_view::npos)
            continue;
        auto const value = data.find_first_not_of(' ', found + field.size());
        return value != std::string_view::npos && data.substr(value).starts_with('"') && !data.substr(value).starts_with("\"\"");
    }
    return false;
}

} // namespace

void CompletionProgress::onEvent(std::string_view event)
{
    static constexpr std::string_view Data = "data:";
    if (!event.starts_with(Data))
        return;
    event.remove_prefix(Data.size());
    if (event.starts_with(' '))
        event.remove_prefix(1);
    if (event == "[DONE]") {
        isDone_ = true;
        return;
    }
    if (completionId_.empty())
        completionId_ = readCompletionId(event);
    if (hasToken(event))
        ++tokens_;
}

bool CompletionProgress::isDone() const
{
    return isDone_;
}

std::uint64_t CompletionProgress::tokens() const
{
    return tokens_;
}

std::string const &CompletionProgress::completionId() const
{
    return completionId_;
}

} // namespace Anvilyard::Entry
