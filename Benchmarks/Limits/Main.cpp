// Measures how far rate limits of customers over all instances are exceeded or left unused.

#include "Benchmarks/Limits/Measurements.h"

int main()
{
    Anvilyard::measureShares();
    Anvilyard::measureFractions();
}
