#include "Utilities/Ctl/EntryAccess.h"

#include "LibHttp/HttpError.h"
#include "LibOperator/OperatorError.h"
#include "LibOperator/PlatformSession.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>

namespace Anvilyard::Ctl {

namespace json = boost::json;

namespace {

Result<std::string> readKey(std::string const &path)
{
    std::ifstream stream(path);
    std::string key;
    if (!std::getline(stream, key) || key.empty())
        return failure(Operator::OperatorError::FileUnreadable, path);
    return key;
}

std::string textMember(json::value const &value, char const *name)
{
    auto const *const object = value.if_object();
    auto const *const found = object == nullptr ? nullptr : object->if_contains(name);
    if (found == nullptr || found->is_null())
        return "-";
    return found->is_string() ? std::string(found->get_string()) : json::serialize(*found);
}

} // namespace

void declareEntry(cxxopts::Options &options)
{
    // clang-format off
    options.add_options()
        ("entry", "IP address and port of an entry instance", cxxopts::value<std::string>(), "ADDRESS")
        ("key-file", "file whose first line is the customer's key", cxxopts::value<std::string>(), "FILE");
    // clang-format on
}

Result<json::value> callEntry(cxxopts::ParseResult const &options, std::string const &method, std::string const &target)
{
    auto const key = readKey(options["key-file"].as<std::string>());
    if (!key)
        return tl::unexpected(key.error());
    Address const entry(options["entry"].as<std::string>());
    Operator::PlatformSession session(entry);
    auto const response = session.fetch(entry, {.method = method, .target = target, .headers = {{"Authorization", "Bearer " + *key}}});
    if (!response)
        return tl::unexpected(response.error());
    boost::system::error_code notJson;
    auto body = json::parse(response->body, notJson);
    if (notJson)
        return failure(Http::HttpError::Malformed, "the response of the entry instance is not JSON");
    if (response->status >= 300)
        return failure(Operator::OperatorError::EntryRefused, "status " + std::to_string(response->status) + ": " + response->body);
    return body;
}

std::string describeJob(json::value const &job)
{
    return textMember(job, "id") + "\t" + textMember(job, "status") + "\t" + textMember(job, "request_counts") + "\n";
}

} // namespace Anvilyard::Ctl
