#include "Utilities/Ctl/Command.h"

namespace Anvilyard::Ctl {

std::vector<std::string> Command::arguments() const
{
    return {};
}

void Command::declareOptions(cxxopts::Options &) const { }

bool Command::needsPlatform() const
{
    return true;
}

std::vector<std::string> Command::requiredOptions() const
{
    return {};
}

Address platformOf(cxxopts::ParseResult const &options)
{
    return Address(options["platform"].as<std::string>());
}

} // namespace Anvilyard::Ctl
