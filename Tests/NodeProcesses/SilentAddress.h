#pragma once

#include "LibCore/Ids.h"

#include <vector>

namespace Anvilyard::Tests {

/// A loopback address that neither accepts nor refuses connections, as behind a broken network path: its queue of connections is full.
class SilentAddress
{
public:
    SilentAddress();
    ~SilentAddress();
    SilentAddress(SilentAddress const &) = delete;
    SilentAddress &operator=(SilentAddress const &) = delete;

    [[nodiscard]] Address const &address() const;

private:
    Address address_;
    std::vector<int> sockets_;
};

} // namespace Anvilyard::Tests
