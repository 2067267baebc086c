#include "Utilities/FakeEngine/FaultSwitches.h"

#include <boost/json.hpp>
#include <functional>
#include <map>

namespace Anvilyard::FakeEngine {

namespace {

using Setter = std::function<void(FaultSwitches &, boost::json::value const &)>;

Duration milliseconds(boost::json::value const &value)
{
    return std::chrono::milliseconds(value.to_number<std::int64_t>());
}

Setter countedFault(CountedFault FaultSwitches::*member)
{
    return [member](FaultSwitches &faults, boost::json::value const &value) {
        auto const all = value.is_bool() && value.as_bool();
        auto const none = value.is_bool() && !value.as_bool();
        (faults.*member).set(all ? CountedFault::Forever : none ? 0 : value.to_number<std::int64_t>());
    };
}

std::map<std::string, Setter, std::less<>> const &setters()
{
    static std::map<std::string, Setter, std::less<>> const table = {
        {"refuse", countedFault(&FaultSwitches::refuse)},
        {"close_early", countedFault(&FaultSwitches::closeEarly)},
        {"close_after_bytes", [](auto &faults, auto const &value) { faults.closeAfterBytes = value.template to_number<std::size_t>(); }},
        {"length_lie", countedFault(&FaultSwitches::lengthLie)},
        {"late", countedFault(&FaultSwitches::late)},
        {"late_by_ms", [](auto &faults, auto const &value) { faults.lateBy = milliseconds(value); }},
        {"slowness", [](auto &faults, auto const &value) { faults.slowness = value.template to_number<double>(); }},
        {"die_on", [](auto &faults, auto const &value) { faults.dieOn = value.as_string(); }},
        {"load_lag_ms", [](auto &faults, auto const &value) { faults.loadLag = milliseconds(value); }},
        {"cache_event_lag_ms", [](auto &faults, auto const &value) { faults.cacheEventLag = milliseconds(value); }},
        {"cache_event_gaps", [](auto &faults, auto const &value) { faults.cacheEventGaps = value.template to_number<double>(); }},
        {"reset", [](auto &faults, auto const &) { faults = FaultSwitches{}; }},
        // EngineServer applies this to its connections; there is no state to store here.
        {"silence", [](auto &, auto const &) {}},
    };
    return table;
}

} // namespace

void CountedFault::set(std::int64_t remaining)
{
    remaining_ = remaining;
}

bool CountedFault::take()
{
    if (remaining_ == 0)
        return false;
    if (remaining_ != Forever)
        --remaining_;
    return true;
}

std::int64_t CountedFault::remaining() const
{
    return remaining_;
}

Result<FaultSwitches> FaultSwitches::withChanges(FaultSwitches const &before, std::string_view json)
{
    auto after = before;
    try {
        auto const parsed = boost::json::parse(json);
        for (auto const &[key, value] : parsed.as_object()) {
            auto const setter = setters().find(std::string_view(key));
            if (setter == setters().end())
                return failure(std::errc::invalid_argument, "unknown switch " + std::string(key));
            setter->second(after, value);
        }
    } catch (std::exception const &exception) {
        return failure(std::errc::invalid_argument, exception.what());
    }
    return after;
}

std::string FaultSwitches::toJson() const
{
    return boost::json::serialize(boost::json::object{
        {"refuse", refuse.remaining()},
        {"close_early", closeEarly.remaining()},
        {"close_after_bytes", closeAfterBytes},
        {"length_lie", lengthLie.remaining()},
        {"late", late.remaining()},
        {"late_by_ms", lateBy.count() / 1000},
        {"slowness", slowness},
        {"die_on", dieOn},
        {"load_lag_ms", loadLag.count() / 1000},
        {"cache_event_lag_ms", cacheEventLag.count() / 1000},
        {"cache_event_gaps", cacheEventGaps},
    });
}

} // namespace Anvilyard::FakeEngine
