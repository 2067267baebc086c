#include "Benchmarks/Capacity/FleetData.h"
#include "Benchmarks/Capacity/Roles.h"
#include "Benchmarks/Capacity/Slope.h"
#include "LibRules/RuleFileParser.h"

#include <iostream>

namespace Anvilyard::Benchmarks {

void measureRules()
{
    constexpr std::size_t Customers = 1800;
    auto const text = rulesText(Customers);
    auto const parsed = Rules::parseRules(text, Generation(1));
    if (!parsed) {
        std::cerr << "cannot parse the rules of the benchmark: " << parsed.error().front().message << '\n';
        std::exit(1);
    }
    printFigure("rules_text_bytes_per_customer", static_cast<double>(text.size()) / Customers, "bytes");
    auto const perCustomer = bytesPerUnit(Customers / 4, Customers, [](std::size_t customers) {
        return std::make_unique<Rules::ParsedRules>(Rules::parseRules(rulesText(customers), Generation(1)));
    });
    printFigure("rules_bytes_per_customer", perCustomer, "bytes");
    auto const nanoseconds = nanosecondsPerCall(5, [&](std::size_t) {
        if (!Rules::parseRules(text, Generation(1)))
            std::exit(1);
    });
    printFigure("rules_parse_ms_1800", nanoseconds / 1e6, "ms");
}

} // namespace Anvilyard::Benchmarks
