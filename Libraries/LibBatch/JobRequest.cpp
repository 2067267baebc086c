#include "LibBatch/JobRequest.h"

#include "LibBatch/JobNames.h"
#include "LibBatch/Sha256.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace Anvilyard::Batch {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxMetadataEntries = 16;
constexpr std::size_t MaxMetadataBytes = 8 * 1024;
constexpr std::size_t MaxKeyBytes = 256;

std::optional<std::string> optionalText(json::object const &object, std::string_view key)
{
    auto const *value = object.if_contains({key.data(), key.size()});
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

/// Parses durations such as "24h" or "90m".
std::optional<std::chrono::minutes> parseWindow(std::string_view text)
{
    std::uint32_t amount = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (error != std::errc() || end + 1 != text.data() + text.size() || amount == 0 || amount > 100'000)
        return std::nullopt;
    if (*end == 'h')
        return std::chrono::hours(amount);
    if (*end == 'm')
        return std::chrono::minutes(amount);
    return std::nullopt;
}

std::optional<std::string> readMetadata(json::object const &object, std::map<std::string, std::string> &metadata)
{
    auto const *value = object.if_contains("metadata");
    if (!value || value->is_null())
        return std::nullopt;
    if (!value->is_object() || value->get_object().size() > MaxMetadataEntries)
        return "\"metadata\" must be an object of at most " + std::to_string(MaxMetadataEntries) + " texts";
    std::size_t bytes = 0;
    for (auto const &field : value->get_object()) {
        if (!field.value().is_string())
            return "\"metadata\" may hold texts only";
        bytes += field.key().size() + field.value().get_string().size();
        metadata.emplace(field.key(), field.value().get_string());
    }
    if (bytes > MaxMetadataBytes)
        return "\"metadata\" is larger than " + std::to_string(MaxMetadataBytes) + " bytes";
    return std::nullopt;
}

std::optional<std::string> readInput(json::object const &object, JobRequest &request)
{
    request.inputFile = optionalText(object, "input_file_id").value_or("");
    auto const *inlineItems = object.if_contains("requests");
    if (request.inputFile.empty() == (inlineItems == nullptr))
        return "give either \"input_file_id\" or \"requests\"";
    if (!inlineItems)
        return std::nullopt;
    if (!inlineItems->is_array() || inlineItems->get_array().empty())
        return "\"requests\" must be a list of items";
    for (auto const &item : inlineItems->get_array())
        request.lines.push_back(json::serialize(item));
    return std::nullopt;
}

std::optional<std::string> readWindow(json::object const &object, JobRequest &request)
{
    auto const window = optionalText(object, "completion_window");
    if (!window)
        return std::nullopt;
    request.completionWindow = *window;
    request.due = parseWindow(*window);
    if (!request.due)
        return "\"completion_window\" must be a number of hours or minutes such as \"24h\"";
    return std::nullopt;
}

} // namespace

tl::expected<JobRequest, std::string> parseJobRequest(Http::HttpRequest const &http)
{
    boost::system::error_code error;
    auto const value = json::parse(http.body, error);
    if (error || !value.is_object())
        return tl::unexpected(std::string("the body is not a JSON object"));
    auto const &object = value.get_object();
    JobRequest request;
    if (auto errorMessage = readInput(object, request))
        return tl::unexpected(*errorMessage);
    if (auto errorMessage = readWindow(object, request))
        return tl::unexpected(*errorMessage);
    if (auto errorMessage = readMetadata(object, request.metadata))
        return tl::unexpected(*errorMessage);
    request.endpoint = optionalText(object, "endpoint").value_or("");
    if (auto const key = http.headers.find("Idempotency-Key"))
        request.idempotencyKey = std::string(*key);
    else if (auto const found = request.metadata.find("idempotency_key"); found != request.metadata.end())
        request.idempotencyKey = found->second;
    if (request.idempotencyKey.size() > MaxKeyBytes)
        return tl::unexpected("the idempotency key is longer than " + std::to_string(MaxKeyBytes) + " bytes");
    return request;
}

Rules::JobDefaultsRule jobDefaultsFor(Rules::RuleSet const &rules, CustomerId const &customer)
{
    Rules::JobDefaultsRule defaults;
    for (auto const &rule : rules.jobDefaults) {
        if (rule.customer == customer)
            return rule;
        if (rule.customer.value() == "*")
            defaults = rule;
    }
    return defaults;
}

std::optional<ServiceName> firstUnroutedService(Rules::RuleSet const &rules, std::vector<ServiceName> const &services)
{
    for (auto const &service : services) {
        auto const isRouted =
            std::any_of(rules.routes.begin(), rules.routes.end(), [&](auto const &route) { return route.service == service; });
        if (!isRouted)
            return service;
    }
    return std::nullopt;
}

JobRecord makeJobRecord(JobRequest const &request, FileRecord const &file, Rules::JobDefaultsRule const &defaults, WallInstant now)
{
    JobRecord job;
    // Without a key, each file creates one job, so that a resent submission is still recognised.
    auto const key = request.idempotencyKey.empty() ? "file:" + file.id.value() : "key:" + request.idempotencyKey;
    job.id = jobIdFor(file.customer, key);
    job.customer = file.customer;
    job.inputFile = file.id;
    job.upload = file.upload;
    job.endpoint = file.endpoint;
    job.completionWindow = request.completionWindow;
    job.metadata = request.metadata;
    job.items = file.items;
    job.chunkItems = file.chunkItems;
    job.services = file.services;
    job.attempts = std::max<std::uint32_t>(1, defaults.attempts);
    job.created = now;
    job.due = now + (request.due ? *request.due : std::chrono::minutes(defaults.due));
    job.keepUntil = std::max(job.due, now) + defaults.keep;
    // The digest covers the content and not the file's id, because a client that resends everything uploads a new file.
    std::string submission = file.digest + "\n" + file.endpoint + "\n" + request.completionWindow;
    for (auto const &[name, text] : request.metadata)
        submission += "\n" + name + "=" + text;
    job.digest = sha256Hex(submission);
    return job;
}

} // namespace Anvilyard::Batch
