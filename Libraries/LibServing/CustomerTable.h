#pragma once

#include "LibCore/Result.h"
#include "LibServing/DesiredState.h"

#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Anvilyard::Serving {

/// Fails with `ServingError::BadRecord` if names or keys of the customers are not unique, or if a limit is out of range. The
/// error names the customer and the field, and the value unless it is a key.
Result<std::monostate> checkCustomers(std::span<Customer const> customers);

/// Finds customers by their keys and names in constant time and without allocating memory. Immutable; a new table is built for each desired
/// state. Pointers are valid as long as the table.
class CustomerTable
{
public:
    CustomerTable() = default;
    /// The customers must have passed checkCustomers().
    explicit CustomerTable(std::span<Customer const> customers);
    CustomerTable(CustomerTable const &) = delete;
    CustomerTable &operator=(CustomerTable const &) = delete;
    CustomerTable(CustomerTable &&) = default;
    CustomerTable &operator=(CustomerTable &&) = default;
    ~CustomerTable() = default;

    /// Returns the customer that holds the key, or null.
    [[nodiscard]] Customer const *findByKey(std::string_view key) const;
    [[nodiscard]] Customer const *find(std::string_view id) const;
    [[nodiscard]] std::vector<Customer> const &all() const;

private:
    std::vector<Customer> customers_;
    /// Views of the strings in `customers_`, which keep their addresses when the table is moved.
    std::unordered_map<std::string_view, Customer const *> byKey_;
    std::unordered_map<std::string_view, Customer const *> byId_;
};

} // namespace Anvilyard::Serving
