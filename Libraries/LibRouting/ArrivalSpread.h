#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace Anvilyard::Routing {

/// Chooses one of several servers if other instances choose by the same load, which is older than their last choices. If all took the
/// server with the least load, the requests of one report interval would queue there while other servers stay idle. The expected requests
/// are instead distributed over the servers with the least load so that all of these end at the same load, and each choice takes one of
/// them with the probability of its share.
///
/// `costs`: load and other costs of each server, in requests; infinite for servers that must not be chosen. `arrivals`: expected number of
/// requests since the load was reported; with 0 the server with the least cost is chosen. `draw`: random number from 0 to 1. Returns
/// `std::nullopt` if all costs are infinite.
std::optional<std::size_t> chooseBySpread(std::span<double const> costs, double arrivals, double draw);

struct SpreadChoice {
    std::size_t index = 0;
    /// Cost at which all servers end that get requests.
    double level = 0;
};

/// Like the above, for servers whose cost grows with each request by their own step instead of by 1.
std::optional<SpreadChoice> chooseBySpread(std::span<double const> costs, std::span<double const> steps, double arrivals, double draw);

} // namespace Anvilyard::Routing
