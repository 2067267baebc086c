#pragma once

#include "LibCore/Ids.h"

#include <memory>

namespace Anvilyard::Tests {

/// What becomes of connections on a network path that is cut.
enum class Cut {
    None,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, while open ones go on.
    Refused,
    /// New connections hang, and nothing passes on open ones.
    Silent,
};

/// A proxy of connections that stands for the network path from some instances to a server. It runs on a thread of its own.
class CuttablePath
{
public:
    explicit CuttablePath(Address const &server);
    ~CuttablePath();
    CuttablePath(CuttablePath const &) = delete;
    CuttablePath &operator=(CuttablePath const &) = delete;

    /// Where the server seems to be.
    [[nodiscard]] Address const &address() const;
    void setCut(Cut cut);

private:
    struct State;

    std::unique_ptr<State> state_;
};

} // namespace Anvilyard::Tests
