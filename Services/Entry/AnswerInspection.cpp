#include "Services/Entry/AnswerInspection.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Anvilyard::Entry {

Routing::NotRunEvidence parseNotRunEvidence(std::string_view body)
{
    boost::system::error_code error;
    auto const value = boost::json::parse(body, error);
    auto const *object = error ? nullptr : value.if_object();
    auto const *inner = object ? object->if_contains("error") : nullptr;
    auto const *details = inner ? inner->if_object() : nullptr;
    auto const *notRun = details ? details->if_contains("not_run") : nullptr;
    bool const isStated = notRun && notRun->is_bool() && notRun->get_bool();
    return isStated ? Routing::NotRunEvidence::Stated : Routing::NotRunEvidence::None;
}

std::uint64_t parseCompletionTokens(std::string_view body)
{
    static constexpr std::string_view Name = "\"completion_tokens\":";
    auto const found = body.rfind(Name);
    if (found == std::string_view::npos)
        return 0;
    body.remove_prefix(found + Name.size());
    body.remove_prefix(std::min(body.find_first_not_of(' '), body.size()));
    std::uint64_t count = 0;
    std::from_chars(body.data(), body.data() + body.size(), count);
    return count;
}

Routing::ServerEvidence classifyStatus(int status)
{
    bool const isError = status == 500 || status == 502 || status == 504;
    return isError ? Routing::ServerEvidence::ErrorResponse : Routing::ServerEvidence::Answered;
}

} // namespace Anvilyard::Entry
