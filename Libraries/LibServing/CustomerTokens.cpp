#include "LibServing/CustomerTokens.h"

#include "LibServing/ServingError.h"

#include <algorithm>
#include <boost/json.hpp>
#include <tuple>
#include <xxhash.h>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view FirstKey = R"({"customerTokens":)";
/// Keeps a report with names of 100 bytes within a datagram of 16 KB.
constexpr std::size_t MaxCustomersPerReport = 80;
/// A job beyond it counts twice for some seconds.
constexpr std::size_t MaxJobsPerReport = 50;
/// Runners report at least every second. Tokens of a runner that was lost count until others have taken its jobs over.
constexpr Duration ReportLifetime = 3s;

} // namespace

std::vector<CustomerTokensReport> splitCustomerTokens(TokensByCustomer const &tokens, CustomerTokensReport const &common)
{
    // Hashing fills the parts unevenly.
    auto const parts = 1 + tokens.size() * 2 / MaxCustomersPerReport;
    std::vector<CustomerTokensReport> reports(parts, common);
    for (std::size_t part = 0; part < parts; ++part) {
        reports[part].part = part;
        reports[part].parts = parts;
        if (part > 0)
            reports[part].recentJobs.clear();
        else if (reports[part].recentJobs.size() > MaxJobsPerReport)
            reports[part].recentJobs.resize(MaxJobsPerReport);
    }
    for (auto const &[customer, count] : tokens)
        reports[XXH3_64bits(customer.value().data(), customer.value().size()) % parts].tokens[customer] = count;
    return reports;
}

std::string encodeCustomerTokens(CustomerTokensReport const &report)
{
    json::array entries;
    for (auto const &[customer, tokens] : report.tokens)
        entries.push_back(json::array{customer.value(), tokens});
    json::array jobs;
    for (auto const &job : report.recentJobs)
        jobs.emplace_back(job.value());
    return json::serialize(json::object{{"customerTokens", std::move(entries)},
                                        {"sender", report.sender.value()},
                                        {"started", report.startedAt},
                                        {"number", report.number},
                                        {"jobs", std::move(jobs)},
                                        {"part", report.part},
                                        {"parts", report.parts}});
}

bool isCustomerTokens(std::string_view text)
{
    return text.starts_with(FirstKey);
}

Result<CustomerTokensReport> decodeCustomerTokens(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const &object = value.as_object();
    CustomerTokensReport report{
        .sender = InstanceId(std::string(object.at("sender").as_string())),
        .startedAt = object.at("started").to_number<std::int64_t>(),
        .number = object.at("number").to_number<std::uint64_t>(),
        .part = object.at("part").to_number<std::size_t>(),
        .parts = object.at("parts").to_number<std::size_t>(),
    };
    for (auto const &entry : object.at("customerTokens").as_array()) {
        auto const &fields = entry.as_array();
        report.tokens[CustomerId(std::string(fields.at(0).as_string()))] = fields.at(1).to_number<std::uint64_t>();
    }
    for (auto const &job : object.at("jobs").as_array())
        report.recentJobs.emplace_back(std::string(job.as_string()));
    return report;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

void CustomerTokenTable::onReport(CustomerTokensReport report, Instant now)
{
    std::erase_if(parts_, [&](auto const &entry) { return now >= entry.second.validUntil; });
    auto const positionOf = [](CustomerTokensReport const &known) { return std::tuple(known.startedAt, known.number); };
    auto const isOfSender = [&](auto const &entry) { return entry.first.first == report.sender; };
    auto const isNewer = [&](auto const &entry) {
        // Customers are distributed anew with the number of parts, so that an older report of another number counts some twice.
        bool const replaces = entry.second.report.parts != report.parts || entry.first.second == report.part;
        return isOfSender(entry) && replaces && positionOf(entry.second.report) >= positionOf(report);
    };
    if (std::ranges::any_of(parts_, isNewer))
        return;
    std::erase_if(parts_, [&](auto const &entry) { return isOfSender(entry) && entry.second.report.parts != report.parts; });
    std::pair const key(report.sender, report.part);
    parts_[key] = {.report = std::move(report), .validUntil = now + ReportLifetime};
}

std::uint64_t CustomerTokenTable::waiting(CustomerId const &customer, std::uint64_t others, Instant now) const
{
    std::uint64_t attributed = 0;
    std::uint64_t own = 0;
    for (auto const &[key, part] : parts_) {
        if (now >= part.validUntil)
            continue;
        for (auto const &[name, tokens] : part.report.tokens) {
            attributed += tokens;
            own += name == customer ? tokens : 0;
        }
    }
    return own + (others > attributed ? others - attributed : 0);
}

bool CustomerTokenTable::isCounted(JobId const &job, Instant now) const
{
    return std::ranges::any_of(parts_, [&](auto const &entry) {
        auto const &jobs = entry.second.report.recentJobs;
        return now < entry.second.validUntil && std::ranges::find(jobs, job) != jobs.end();
    });
}

} // namespace Anvilyard::Serving
