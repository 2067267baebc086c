#pragma once

#include "LibCore/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Anvilyard::FakeEngine {

/// Whether an engine refuses orders with an outdated fencing number.
enum class FencingCheck {
    Checked,
    Ignored,
};

enum class OrderOutcome {
    Done,
    /// The fencing number is lower than that of an earlier order.
    Fenced,
    /// The order names no model, version or adapter that it could change.
    NotFound,
};

/// Loaded models, versions and adapters and the role of an engine, changed by orders. Performs no I/O.
class EngineOrders
{
public:
    struct Model {
        std::set<std::string> versions;
        std::set<std::string> adapters;
    };

    struct Order {
        std::string model;
        std::string version;
        std::string adapter;
        std::string role;
        std::optional<std::uint64_t> fencingNumber;
    };

    EngineOrders(FencingCheck check, std::map<std::string, Model> models);

    OrderOutcome load(Order const &order);
    OrderOutcome unload(Order const &order);
    OrderOutcome changeRole(Order const &order);

    /// Returns whether requests may name `requested`: "model", "model@version" or the name of an adapter. An engine created
    /// without models accepts any name.
    [[nodiscard]] bool serves(std::string const &requested) const;
    [[nodiscard]] std::map<std::string, Model> const &models() const;
    [[nodiscard]] std::string const &role() const;
    [[nodiscard]] std::uint64_t highestFencingNumber() const;

private:
    [[nodiscard]] bool isFenced(Order const &order);

    FencingCheck check_;
    bool servesAnyModel_;
    std::map<std::string, Model> models_;
    std::string role_ = "both";
    std::uint64_t highestFencingNumber_ = 0;
};

} // namespace Anvilyard::FakeEngine
