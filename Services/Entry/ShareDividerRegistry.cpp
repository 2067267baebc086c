#include "Services/Entry/ShareDividerRegistry.h"

#include <algorithm>

namespace Anvilyard::Entry {

ShareDividerRegistry::ShareDividerRegistry(Routing::ShareDividerOptions options, std::uint32_t serialPrefix)
    : options_(options)
    , serial_(std::uint64_t{serialPrefix} << 32)
{
}

std::optional<double> ShareDividerRegistry::shareOf(std::optional<Routing::ShareDivider> &divider,
                                                    std::optional<double> limit,
                                                    Peer::UsageReport const &report,
                                                    Routing::UsageCounters const &counters,
                                                    Instant now)
{
    if (!limit) {
        divider.reset();
        return 0;
    }
    if (!divider)
        divider.emplace(options_, *limit, grantsStartAt_);
    divider->setLimit(*limit);
    return divider->onReport(report.from, report.processIncarnation, counters, serial_, now);
}

void ShareDividerRegistry::onInstancesChanged(Instant now)
{
    grantsStartAt_ = now + options_.shareLifetime + options_.maxDeliveryTime;
}

std::vector<Peer::GrantedShare> ShareDividerRegistry::onReport(Rules::RuleSet const &rules, Peer::UsageReport const &report, Instant now)
{
    removeIdle(now);
    std::vector<Peer::GrantedShare> shares;
    for (auto const &count : report.counts) {
        LimitKey const key{count.customer, count.service};
        auto const limit = findLimit(rules, key);
        if (!limit)
            continue;
        auto &dividers = dividers_[key];
        ++serial_;
        auto const requests = static_cast<double>(count.requests);
        auto const refused = static_cast<double>(count.refused);
        auto const tokens = static_cast<double>(count.tokens);
        auto const requestShare = shareOf(dividers.requests,
                                          limit->requestsPerSecond,
                                          report,
                                          {.used = requests, .refused = refused, .shareSerial = count.shareSerial},
                                          now);
        // Assumes that a refused request would have produced as many tokens as an average admitted one.
        auto const tokensRefused = refused * tokens / std::max(1.0, requests);
        auto const tokenShare = shareOf(dividers.tokens,
                                        limit->tokensPerSecond,
                                        report,
                                        {.used = tokens, .refused = tokensRefused, .shareSerial = count.shareSerial},
                                        now);
        if (!requestShare || !tokenShare)
            continue;
        shares.push_back({.customer = count.customer,
                          .service = count.service,
                          .requestsPerSecond = *requestShare,
                          .tokensPerSecond = *tokenShare,
                          .validFor = std::chrono::duration_cast<std::chrono::milliseconds>(options_.shareLifetime),
                          .serial = serial_});
    }
    return shares;
}

void ShareDividerRegistry::removeIdle(Instant now)
{
    std::erase_if(dividers_, [&](auto const &entry) {
        auto const &[requests, tokens] = entry.second;
        return (!requests || requests->isIdle(now)) && (!tokens || tokens->isIdle(now));
    });
}

} // namespace Anvilyard::Entry
