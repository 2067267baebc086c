#include "LibServing/CustomerTable.h"

#include "LibHttp/MessageSyntax.h"
#include "LibServing/ServingError.h"

#include <cmath>

namespace Anvilyard::Serving {

namespace {

std::string describe(Customer const &customer)
{
    return "customer '" + customer.id.value() + "'";
}

/// The name of a customer is sent to servers as the value of a header.
bool isHeaderValue(std::string const &text)
{
    Http::Headers headers;
    headers.append({"Customer", text});
    return !text.empty() && !Http::findSyntaxFault("/", headers);
}

Result<std::monostate> checkLimit(Customer const &customer, char const *field, double value)
{
    if (std::isfinite(value) && value >= 0)
        return std::monostate{};
    return failure(ServingError::BadRecord, describe(customer) + ": " + field + " is " + std::to_string(value) + ", must be 0 or more");
}

} // namespace

Result<std::monostate> checkCustomers(std::span<Customer const> customers)
{
    std::unordered_map<std::string_view, Customer const *> holders;
    std::unordered_map<std::string_view, Customer const *> names;
    for (auto const &customer : customers) {
        if (!isHeaderValue(customer.id.value()))
            return failure(ServingError::BadRecord, describe(customer) + ": the name is empty or cannot be sent in a header");
        if (!names.emplace(customer.id.value(), &customer).second)
            return failure(ServingError::BadRecord, describe(customer) + " is listed twice");
        if (auto rate = checkLimit(customer, "the rate", customer.requestsPerSecond); !rate)
            return rate;
        if (auto burst = checkLimit(customer, "the burst", customer.burst); !burst)
            return burst;
        for (std::size_t position = 0; position < customer.keys.size(); ++position) {
            auto const &key = customer.keys[position];
            auto const describeKey = describe(customer) + ": the key at position " + std::to_string(position);
            if (key.empty())
                return failure(ServingError::BadRecord, describeKey + " is empty");
            if (auto const [holder, isNew] = holders.emplace(key, &customer); !isNew)
                return failure(ServingError::BadRecord, describeKey + " is also held by " + describe(*holder->second));
        }
    }
    return std::monostate{};
}

CustomerTable::CustomerTable(std::span<Customer const> customers)
    : customers_(customers.begin(), customers.end())
{
    byId_.reserve(customers_.size());
    for (auto const &customer : customers_) {
        byId_.emplace(customer.id.value(), &customer);
        for (auto const &key : customer.keys)
            byKey_.emplace(key, &customer);
    }
}

Customer const *CustomerTable::findByKey(std::string_view key) const
{
    auto const found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

Customer const *CustomerTable::find(std::string_view id) const
{
    auto const found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

std::vector<Customer> const &CustomerTable::all() const
{
    return customers_;
}

} // namespace Anvilyard::Serving
