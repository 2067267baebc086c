#include "LibServing/CustomerTable.h"
#include "LibServing/RouteTable.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <limits>

using namespace Anvilyard;
using namespace Anvilyard::Serving;
using ::testing::AllOf;
using ::testing::HasSubstr;
using ::testing::Not;

namespace {

std::string errorOf(std::vector<Customer> const &customers)
{
    auto const checked = checkCustomers(customers);
    return checked ? "" : checked.error().detail;
}

Customer customerOf(std::string id, std::vector<std::string> keys)
{
    return {.id = CustomerId(std::move(id)), .keys = std::move(keys)};
}

} // namespace

/// Guards against requests that are charged to another customer, or served with a key that no customer holds.
TEST(CustomerTableTest, EachKeyFindsItsHolderAndNoOtherTextDoes)
{
    std::vector<Customer> const customers{customerOf("north", {"key-a", "key-b"}), customerOf("south", {"key-c"}), customerOf("idle", {})};
    ASSERT_TRUE(checkCustomers(customers));
    CustomerTable table(customers);
    // Views into the table stay valid when it is moved.
    CustomerTable const moved = std::move(table);
    EXPECT_EQ(moved.findByKey("key-a")->id, CustomerId("north"));
    EXPECT_EQ(moved.findByKey("key-b")->id, CustomerId("north"));
    EXPECT_EQ(moved.findByKey("key-c")->id, CustomerId("south"));
    for (auto const *const other : {"", "key", "key-a ", "KEY-A", "north"})
        EXPECT_EQ(moved.findByKey(other), nullptr) << other;
    EXPECT_EQ(moved.find("idle")->id, CustomerId("idle"));
    EXPECT_EQ(moved.find("west"), nullptr);
}

/// Guards against a key that identifies two customers, and against errors that leak keys into logs.
TEST(CustomerTableTest, ErrorsNameTheCustomerAndTheFieldButNoKey)
{
    EXPECT_THAT(errorOf({customerOf("north", {"secret"}), customerOf("south", {"other", "secret"})}),
                AllOf(HasSubstr("'south'"), HasSubstr("'north'"), HasSubstr("position 1"), Not(HasSubstr("secret"))));
    EXPECT_THAT(errorOf({customerOf("north", {"secret", "secret"})}), AllOf(HasSubstr("'north'"), Not(HasSubstr("secret"))));
    EXPECT_THAT(errorOf({customerOf("north", {""})}), HasSubstr("empty"));
    EXPECT_THAT(errorOf({customerOf("north", {}), customerOf("north", {})}), HasSubstr("twice"));
    EXPECT_THAT(errorOf({customerOf("", {})}), HasSubstr("name"));
    EXPECT_THAT(errorOf({customerOf("two\r\nlines", {})}), HasSubstr("name"));
    auto limited = customerOf("north", {});
    limited.requestsPerSecond = -1;
    EXPECT_THAT(errorOf({limited}), AllOf(HasSubstr("'north'"), HasSubstr("rate"), HasSubstr("-1")));
    limited.requestsPerSecond = 1;
    limited.burst = std::numeric_limits<double>::quiet_NaN();
    EXPECT_THAT(errorOf({limited}), HasSubstr("burst"));
}

/// Guards against a configuration without customers that refuses all requests for want of a key, and one with an empty list that serves
/// all.
TEST(CustomerTableTest, KeysAreRequiredOnlyIfTheDesiredStateListsCustomers)
{
    EXPECT_EQ(RouteTable(DesiredState{}).customers(), nullptr);
    RouteTable const none(DesiredState{.customers = std::vector<Customer>()});
    ASSERT_NE(none.customers(), nullptr);
    EXPECT_EQ(none.customers()->findByKey("key"), nullptr);
}
