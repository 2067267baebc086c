// Measures the per-unit costs used in docs/CAPACITY.md: memory, message size and decision time for each additional instance, engine,
// customer and job.

#include "Benchmarks/Capacity/Roles.h"
#include "Benchmarks/Capacity/Slope.h"

#include <boost/json.hpp>
#include <iostream>

namespace Anvilyard::Benchmarks {

void printFigure(std::string_view metric, double value, std::string_view unit)
{
    boost::json::value const line = {{"bench", "capacity"}, {"metric", metric}, {"value", value}, {"unit", unit}};
    std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace Anvilyard::Benchmarks

int main()
{
    Anvilyard::Benchmarks::measureRules();
    Anvilyard::Benchmarks::measureEntry();
    Anvilyard::Benchmarks::measureBatch();
    Anvilyard::Benchmarks::measureAgent();
    Anvilyard::Benchmarks::measureMessages();
    return 0;
}
