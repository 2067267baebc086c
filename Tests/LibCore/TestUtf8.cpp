#include "LibCore/Utf8.h"

#include <gtest/gtest.h>
#include <string>

using namespace Anvilyard;

/// Guards against text that the platform's store refuses as it cannot stand in JSON.
TEST(Utf8Test, OnlyTextThatJsonMayHoldIsValid)
{
    for (auto const *const text : {"", "text", "\n\t", "\xc5\xbe", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf"})
        EXPECT_TRUE(isUtf8(text)) << text;
    EXPECT_TRUE(isUtf8(std::string_view("a\0b", 3)));
    for (auto const *const text : {"a\xff\xfe", "\x80", "\xc5", "\xe2\x82", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x28\xa1"})
        EXPECT_FALSE(isUtf8(text)) << text;
}
