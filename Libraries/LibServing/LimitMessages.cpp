#include "LibServing/LimitMessages.h"

#include "LibServing/ServingError.h"

#include <boost/json.hpp>
#include <cmath>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view ReportStart = R"({"customerUsage":)";
constexpr std::string_view ReplyStart = R"({"customerGrants":)";
/// Fractions and shares are sent with this precision, as their texts would otherwise have 17 digits.
constexpr double Precision = 1e6;

double rounded(double value)
{
    return std::round(value * Precision) / Precision;
}

std::string textOf(json::value const &value)
{
    return std::string(value.as_string());
}

double finiteNumber(json::value const &value)
{
    auto const number = value.to_number<double>();
    if (!std::isfinite(number) || number < 0)
        throw std::range_error("a rate is out of range");
    return number;
}

} // namespace

std::string encodeLimitReport(AddressedLimitReport const &addressed)
{
    auto const &report = addressed.report;
    json::array usage;
    for (auto const &counts : report.usage)
        usage.push_back(json::array{counts.customer.value(), counts.admitted, counts.refused, counts.coordinatorChanges});
    return json::serialize(json::object{
        {"customerUsage", std::move(usage)},
        {"entry", report.entry.value()},
        {"startedAt", report.startedAt},
        {"sentAt", report.sentAt},
        {"replyTo", addressed.replyTo.value()},
    });
}

std::string encodeLimitReply(Routing::LimitReply const &reply)
{
    json::array grants;
    for (auto const &grant : reply.grants)
        grants.push_back(json::array{
            grant.customer.value(), rounded(grant.fraction), rounded(grant.sharePerSecond), grant.counted, rounded(grant.advance)});
    return json::serialize(json::object{
        {"customerGrants", std::move(grants)},
        {"coordinator", reply.coordinator.value()},
        {"startedAt", reply.startedAt},
        {"sentAt", reply.reportSentAt},
    });
}

bool isLimitReport(std::string_view text)
{
    return text.starts_with(ReportStart);
}

bool isLimitReply(std::string_view text)
{
    return text.starts_with(ReplyStart);
}

Result<AddressedLimitReport> decodeLimitReport(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const &fields = value.as_object();
    AddressedLimitReport addressed{
        .replyTo = Address(textOf(fields.at("replyTo"))),
        .report =
            {
                .entry = InstanceId(textOf(fields.at("entry"))),
                .startedAt = fields.at("startedAt").to_number<std::int64_t>(),
                .sentAt = fields.at("sentAt").to_number<std::int64_t>(),
            },
    };
    for (auto const &entry : fields.at("customerUsage").as_array()) {
        auto const &counts = entry.as_array();
        addressed.report.usage.push_back({
            .customer = CustomerId(textOf(counts.at(0))),
            .admitted = counts.at(1).to_number<std::uint64_t>(),
            .refused = counts.at(2).to_number<std::uint64_t>(),
            // The first build with this message did not state it.
            .coordinatorChanges = counts.size() > 3 ? counts.at(3).to_number<std::uint64_t>() : 0,
        });
    }
    return addressed;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

Result<Routing::LimitReply> decodeLimitReply(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const &fields = value.as_object();
    Routing::LimitReply reply{
        .coordinator = InstanceId(textOf(fields.at("coordinator"))),
        .startedAt = fields.at("startedAt").to_number<std::int64_t>(),
        .reportSentAt = fields.at("sentAt").to_number<std::int64_t>(),
    };
    for (auto const &entry : fields.at("customerGrants").as_array()) {
        auto const &grant = entry.as_array();
        reply.grants.push_back({
            .customer = CustomerId(textOf(grant.at(0))),
            .fraction = finiteNumber(grant.at(1)),
            .sharePerSecond = finiteNumber(grant.at(2)),
            .counted = grant.at(3).to_number<std::uint64_t>(),
            .advance = finiteNumber(grant.at(4)),
        });
    }
    return reply;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
