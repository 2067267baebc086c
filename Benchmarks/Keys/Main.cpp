// Measures the check of a caller's key with 10,000 keys of 75 customers, for keys that customers hold and for unknown ones, and counts the
// allocations of memory meanwhile.

#include "LibCore/Random.h"
#include "Services/Node/CallerAuthentication.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <new>
#include <string>
#include <vector>

namespace {

std::size_t allocations = 0;

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *const memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace {

using namespace Anvilyard;

constexpr std::size_t Customers = 75;
constexpr std::size_t Keys = 10'000;
constexpr std::size_t Checks = 5'000'000;

std::string makeKey(RandomSource &random)
{
    return std::to_string(random()) + std::to_string(random());
}

void measure(char const *name, Serving::RouteTable const &routes, std::vector<std::string> const &keys, RandomSource &random)
{
    std::vector<std::size_t> order(Checks);
    for (auto &position : order)
        position = random() % keys.size();
    auto const &route = routes.state().routes.front();
    std::size_t accepted = 0;
    auto const allocationsBefore = allocations;
    auto const start = std::chrono::steady_clock::now();
    for (auto const position : order)
        accepted += Node::CallerAuthentication::ofRequest(routes, route, keys[position]).isRefused() ? 0 : 1;
    std::chrono::duration<double, std::nano> const time = std::chrono::steady_clock::now() - start;
    std::cout << name << ": " << time.count() / static_cast<double>(Checks) << " ns a check, " << allocations - allocationsBefore
              << " allocations in " << Checks << ", " << accepted << " accepted\n";
}

} // namespace

int main()
{
    RandomSource random(1);
    Serving::DesiredState state{.routes = {{.host = "h", .pathPrefix = "/", .pools = {{.pool = PoolName("p")}}}},
                                .customers = std::vector<Serving::Customer>(Customers)};
    std::vector<std::string> known;
    std::vector<std::string> unknown;
    for (std::size_t number = 0; number < Keys; ++number) {
        known.push_back(makeKey(random));
        unknown.push_back(makeKey(random));
        (*state.customers)[number % Customers].keys.push_back(known.back());
    }
    for (std::size_t number = 0; number < Customers; ++number)
        (*state.customers)[number].id = CustomerId("customer-" + std::to_string(number));
    Serving::RouteTable const routes(std::move(state));
    measure("held keys", routes, known, random);
    measure("unknown keys", routes, unknown, random);
}
