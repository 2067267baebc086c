#include "LibRules/RuleLineParser.h"

#include "LibRules/RuleFields.h"

#include <charconv>
#include <functional>
#include <map>
#include <optional>

namespace Anvilyard::Rules {

namespace {

constexpr std::uint32_t MaxWeight = 1'000'000;
constexpr double MaxRate = 1e9;
constexpr std::uint32_t MaxDueHours = 24 * 365;
constexpr std::uint32_t MaxKeepDays = 3650;
constexpr std::uint32_t MaxAttempts = 100;
constexpr std::uint32_t MaxSlots = 4096;
constexpr std::size_t Sha256HexLength = 64;

using Wildcard = RuleFields::Wildcard;
/// Reads one kind of rule; the returned function adds the rule and is called only if the line has no faults.
using AddRule = std::function<void(RuleSet &)>;
using ReadRule = AddRule (*)(RuleFields &, RuleOrigin const &);

AddRule readPool(RuleFields &fields, RuleOrigin const &origin)
{
    PoolRule rule{.pool = PoolName(fields.readName("pool")), .origin = origin};
    if (auto const kind = fields.readName("kind"); kind == "plain-service")
        rule.kind = PoolKind::PlainService;
    else if (!kind.empty() && kind != "model-engine")
        fields.addFault("kind: '" + kind + "' is unknown", "use model-engine or plain-service");
    return [rule](RuleSet &rules) { rules.pools.push_back(rule); };
}

AddRule readRoute(RuleFields &fields, RuleOrigin const &origin)
{
    RouteRule const rule{
        .service = ServiceName(fields.readName("service")),
        .pool = PoolName(fields.readName("pool")),
        .model = ModelName(fields.readOptionalName("model")),
        .version = ModelVersion(fields.readOptionalName("version")),
        .weight = fields.readInteger("weight", 1, 0, MaxWeight),
        .origin = origin,
    };
    return [rule](RuleSet &rules) { rules.routes.push_back(rule); };
}

bool isSha256Hex(std::string const &text)
{
    return text.size() == Sha256HexLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

AddRule readCustomer(RuleFields &fields, RuleOrigin const &origin)
{
    CustomerRule const rule{
        .customer = CustomerId(fields.readName("customer")),
        .keySha256 = fields.readText("key-sha256"),
        .origin = origin,
    };
    if (!isSha256Hex(rule.keySha256))
        fields.addFault("key-sha256 is not a SHA-256 digest", "use the key's SHA-256 as 64 lower-case hex digits");
    return [rule](RuleSet &rules) { rules.customers.push_back(rule); };
}

AddRule readLimit(RuleFields &fields, RuleOrigin const &origin)
{
    LimitRule const rule{
        .customer = CustomerId(fields.readName("limit", Wildcard::Allowed)),
        .service = ServiceName(fields.readName("service")),
        .requestsPerSecond = fields.readNumber("requests-per-second", 0, MaxRate),
        .tokensPerSecond = fields.readNumber("tokens-per-second", 0, MaxRate),
        .origin = origin,
    };
    if (!fields.contains("requests-per-second") && !fields.contains("tokens-per-second"))
        fields.addFault("the limit has no rate", "add requests-per-second, tokens-per-second or both");
    return [rule](RuleSet &rules) { rules.limits.push_back(rule); };
}

std::optional<std::chrono::minutes> parseTimeOfDay(std::string_view text)
{
    auto const colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    int hours = -1;
    int minutes = -1;
    auto const readTwoDigits = [](std::string_view digits, int &number) {
        return digits.size() == 2 && std::from_chars(digits.data(), digits.data() + 2, number).ptr == digits.data() + 2;
    };
    if (!readTwoDigits(text.substr(0, colon), hours) || !readTwoDigits(text.substr(colon + 1), minutes))
        return std::nullopt;
    if (hours < 0 || hours > 23 || minutes < 0 || minutes > 59)
        return std::nullopt;
    return std::chrono::hours(hours) + std::chrono::minutes(minutes);
}

void readAdmission(RuleFields &fields, BatchRule &rule)
{
    auto const admit = fields.readText("admit");
    if (admit.empty() || admit == "always")
        return;
    auto const dash = admit.find('-');
    auto const from = parseTimeOfDay(std::string_view(admit).substr(0, dash));
    auto const until = dash == std::string::npos ? std::nullopt : parseTimeOfDay(std::string_view(admit).substr(dash + 1));
    if (!from || !until || *from == *until) {
        fields.addFault("admit: '" + admit + "' is not a daily window", "use always or a UTC window such as \"22:00-06:00\"");
        return;
    }
    rule.admitFrom = *from;
    rule.admitUntil = *until;
}

AddRule readBatch(RuleFields &fields, RuleOrigin const &origin)
{
    BatchRule rule{.pool = PoolName(fields.readName("batch")), .origin = origin};
    readAdmission(fields, rule);
    rule.share = fields.readNumber("share", 0, 1).value_or(1.0);
    rule.slotsPerServer = fields.readInteger("slots-per-server", rule.slotsPerServer, 0, MaxSlots);
    rule.floorSlots = fields.readInteger("floor-slots", 0, 0, MaxSlots);
    if (rule.floorSlots > rule.slotsPerServer)
        fields.addFault("floor-slots is above slots-per-server", "lower floor-slots");
    return [rule](RuleSet &rules) { rules.batches.push_back(rule); };
}

AddRule readLeaving(RuleFields &fields, RuleOrigin const &origin)
{
    LeavingRule const rule{.server = ServerId(fields.readName("leaving")), .origin = origin};
    return [rule](RuleSet &rules) { rules.leaving.push_back(rule); };
}

AddRule readJobDefaults(RuleFields &fields, RuleOrigin const &origin)
{
    JobDefaultsRule rule{.customer = CustomerId(fields.readName("job-defaults", Wildcard::Allowed)), .origin = origin};
    rule.due = std::chrono::hours(fields.readInteger("due-hours", 12, 1, MaxDueHours));
    rule.keep = std::chrono::hours(24) * fields.readInteger("keep-days", 30, 1, MaxKeepDays);
    rule.attempts = fields.readInteger("attempts", rule.attempts, 1, MaxAttempts);
    return [rule](RuleSet &rules) { rules.jobDefaults.push_back(rule); };
}

std::optional<OrderKind> readOrderKind(RuleFields &fields)
{
    static std::map<std::string, OrderKind> const kinds = {
        {"load-model", OrderKind::LoadModel},
        {"load-adapter", OrderKind::LoadAdapter},
        {"change-role", OrderKind::ChangeRole},
    };
    auto const name = fields.readName("order");
    auto const found = kinds.find(name);
    if (found != kinds.end())
        return found->second;
    if (!name.empty())
        fields.addFault("order: '" + name + "' is unknown", "use load-model, load-adapter or change-role");
    return std::nullopt;
}

AddRule readOrder(RuleFields &fields, RuleOrigin const &origin)
{
    auto const kind = readOrderKind(fields);
    OrderRule rule{.kind = kind.value_or(OrderKind::LoadModel), .server = ServerId(fields.readName("server")), .origin = origin};
    if (!kind) {
        // The valid keys of an unknown order cannot be determined.
        for (auto const *key : {"model", "version", "adapter", "role"})
            fields.readText(key);
        return [](RuleSet &) {};
    }
    switch (rule.kind) {
    case OrderKind::LoadModel:
        rule.model = ModelName(fields.readName("model"));
        rule.version = ModelVersion(fields.readName("version"));
        break;
    case OrderKind::LoadAdapter:
        rule.model = ModelName(fields.readName("model"));
        rule.version = ModelVersion(fields.readOptionalName("version"));
        rule.adapter = fields.readName("adapter");
        break;
    case OrderKind::ChangeRole:
        rule.role = fields.readName("role");
        break;
    }
    return [rule](RuleSet &rules) { rules.orders.push_back(rule); };
}

std::map<std::string, ReadRule> const &readers()
{
    static std::map<std::string, ReadRule> const byFirstKey = {
        {"pool", readPool},
        {"service", readRoute},
        {"customer", readCustomer},
        {"limit", readLimit},
        {"batch", readBatch},
        {"leaving", readLeaving},
        {"job-defaults", readJobDefaults},
        {"order", readOrder},
    };
    return byFirstKey;
}

} // namespace

std::vector<RuleFault> parseRuleLine(RuleLine const &line, int number, RuleSet &rules)
{
    RuleFields fields(line.mapping, number);
    if (line.requester.empty())
        fields.addFault("the requester of the rule is missing", "end the line with # asked by NAME: reason");
    if (fields.firstKey().empty())
        return fields.finish();
    auto const reader = readers().find(fields.firstKey());
    if (reader == readers().end()) {
        fields.addFault("unknown kind of rule " + fields.firstKey(),
                        "start the line with pool, service, customer, limit, batch, leaving, job-defaults or order");
        auto faults = fields.finish();
        // The valid keys of an unknown kind of rule cannot be determined.
        std::erase_if(faults, [](auto const &fault) { return fault.message.starts_with("unknown key"); });
        return faults;
    }
    auto const add = reader->second(fields, RuleOrigin{.line = number, .requester = std::string(line.requester)});
    auto faults = fields.finish();
    if (faults.empty())
        add(rules);
    return faults;
}

} // namespace Anvilyard::Rules
