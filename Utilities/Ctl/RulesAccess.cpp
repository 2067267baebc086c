#include "Utilities/Ctl/RulesAccess.h"

#include "LibOperator/NewestRules.h"

#include <charconv>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <thread>

namespace Anvilyard::Ctl {

namespace {

std::string loginName()
{
    for (auto const *const variable : {"USER", "LOGNAME"}) {
        if (auto const *const name = std::getenv(variable); name != nullptr && *name != '\0')
            return name;
    }
    return "unknown";
}

} // namespace

RulesAccess::RulesAccess(Address platform)
    : session_(std::move(platform))
    , store_(session_)
{
}

Operator::Acceptance RulesAccess::accept(Operator::RuleProposal const &proposal)
{
    return Operator::acceptRules({
                                     .store = store_,
                                     .clock = [] { return readClocks().wall; },
                                     .makeWriter = [] { return Platform::makeWriterId("anvilyardctl").value(); },
                                     .wait = [](Duration delay) { std::this_thread::sleep_for(delay); },
                                 },
                                 proposal);
}

Result<std::optional<Rules::AcceptedRules>> RulesAccess::newest()
{
    return Operator::findNewest(store_);
}

Result<std::optional<Rules::AcceptedRules>> RulesAccess::get(Generation generation)
{
    return store_.get(generation);
}

Operator::PlatformSession &RulesAccess::session()
{
    return session_;
}

void declareAuthor(cxxopts::Options &options)
{
    options.add_options()("author", "author of the change", cxxopts::value<std::string>()->default_value(loginName()), "NAME");
}

std::string authorOf(cxxopts::ParseResult const &options)
{
    return options["author"].as<std::string>();
}

std::optional<Generation> parseGeneration(std::string const &text)
{
    std::uint64_t number = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return Generation(number);
}

std::string formatTime(WallInstant instant)
{
    auto const seconds = std::chrono::system_clock::to_time_t(instant);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

} // namespace Anvilyard::Ctl
