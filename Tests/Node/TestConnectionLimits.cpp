#include "Services/Node/ConnectionLimits.h"

#include <gtest/gtest.h>

using namespace Anvilyard::Node;

namespace {

constexpr std::size_t Descriptors = 1024;
constexpr std::size_t MB = 1'000'000;

std::size_t memoryFor(MachineMemory const &memory)
{
    return connectionLimits(Descriptors, memory).memoryBytes;
}

} // namespace

/// The system states the memory of the whole machine. Guards against connections that hold far more than the process may have.
TEST(ConnectionLimitsTest, MemoryOfTheSystemCountsUpToABound)
{
    EXPECT_EQ(memoryFor({.ofSystem = 110 * MB}), 55 * MB);
    EXPECT_EQ(memoryFor({.ofSystem = 24'000 * MB}), 64 * MB);
    EXPECT_EQ(memoryFor({}), 64 * MB);
    EXPECT_EQ(memoryFor({.ofSystem = 10 * MB}), 24 * MB);
}

/// Guards against a bound on what the operator has stated.
TEST(ConnectionLimitsTest, StatedMemoryIsUsed)
{
    EXPECT_EQ(memoryFor({.stated = 2'000 * MB, .ofSystem = 110 * MB}), 1'000 * MB);
    EXPECT_EQ(memoryFor({.stated = 40 * MB, .ofSystem = 24'000 * MB}), 24 * MB);
}
