#pragma once

#include "Utilities/Ctl/Command.h"

#include <boost/json/value.hpp>

namespace Anvilyard::Ctl {

/// Declares `--entry` and `--key-file`, for commands that call an entry instance with a customer's key.
void declareEntry(cxxopts::Options &options);

/// Sends one request to the interface for callers. If the entry instance refuses it, the error contains its response.
Result<boost::json::value> callEntry(cxxopts::ParseResult const &options, std::string const &method, std::string const &target);

/// Returns one line of text about a batch job.
std::string describeJob(boost::json::value const &job);

} // namespace Anvilyard::Ctl
