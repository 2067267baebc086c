#include "LibCore/Random.h"
#include "platform/FleetProtocol.h"
#include "platform/FleetStoreCodec.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Adapter;

namespace {

constexpr int FuzzRuns = 3000;

std::string sound(std::string const &name)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":{"service":"p","address":"127.0.0.1:80","zone":"z","slots":4,)"
        + R"("state":"ready","version":"1","born":1},"status":null})";
}

/// Returns an entry whose spec is this text.
std::string entry(std::string const &name, std::string const &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":6},"spec":)" + spec + R"(,"status":null})";
}

std::string list(std::vector<std::string> const &entries, std::string const &more = "false")
{
    std::string items;
    for (auto const &text : entries)
        items += (items.empty() ? "" : ",") + text;
    return R"({"items":[)" + items + R"(],"more":)" + more + R"(,"at":7})";
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// Specs of another writer, each of which is or may be sent in well-formed responses.
std::vector<std::string> oddSpecs()
{
    std::vector<std::string> specs = {
        "null", "{}", "[]", "7", R"("text")", R"({"service":7,"address":true})", "{\"service\":\"\xff\xfe\"}"};
    auto const withAddress = [&](std::string const &address) {
        specs.push_back(R"({"service":"p","address":)" + address + R"(,"zone":"z","slots":4,"state":"ready"})");
    };
    for (auto const *port : {"0", "-1", "65536", "1000000000", ""})
        withAddress("\"127.0.0.1:" + std::string(port) + "\"");
    withAddress(R"("\ud800")");
    withAddress(R"("\udc00\ud800")");
    withAddress(nested(10'000));
    auto const withSlots = [&](std::string const &slots) {
        specs.push_back(R"({"service":"p","address":"127.0.0.1:80","zone":"z","slots":)" + slots + R"(,"state":"ready"})");
    };
    for (auto const *slots : {"18446744073709551616", "1e400", "-1", "0.5", R"("4")", "null"})
        withSlots(slots);
    specs.push_back(R"({"service":")" + std::string(1 << 20, 'x') + R"("})");
    specs.push_back(R"({"text":"a \" quote, a \\ and [brackets}","service":)" + nested(100) + "}");
    return specs;
}

} // namespace

// One entry of another writer that cannot be read must not hide the others. Guards against lists and watches that fail as a whole, so that
// instances follow no servers any more.
TEST(FleetStoreCodecTest, AnOddEntryHidesNoOther)
{
    FleetProtocol const protocol;
    for (auto const &spec : oddSpecs()) {
        auto const shown = spec.substr(0, 100);
        auto const objects = decodeList(list({sound("a"), entry("odd", spec), sound("b")}, "true"));
        ASSERT_TRUE(objects) << shown;
        ASSERT_EQ(objects->objects.size(), 3U) << shown;
        EXPECT_EQ(objects->objects[1].name.value(), "odd");
        EXPECT_EQ(objects->continueToken, "b");
        EXPECT_FALSE(protocol.readServer(ServerId("odd"), objects->objects[1].spec)) << shown;
        for (auto const index : {0, 2})
            EXPECT_TRUE(protocol.readServer(ServerId("sound"), objects->objects[static_cast<std::size_t>(index)].spec)) << shown;
        auto const event = [](std::string const &object) { return R"({"deleted":false,"object":)" + object + "}"; };
        auto const changes =
            decodeWatch(R"({"events":[)" + event(sound("a")) + "," + event(entry("odd", spec)) + "," + event(sound("b")) + R"(],"at":9})");
        ASSERT_TRUE(changes) << shown;
        EXPECT_EQ(changes->changes.size(), 3U) << shown;
        EXPECT_EQ(changes->version.value(), "9");
    }
}

TEST(FleetStoreCodecTest, AnEntryWithoutANameIsLeftOut)
{
    for (auto const *odd : {"null",
                            "7",
                            "{}",
                            R"({"metadata":{}})",
                            R"({"metadata":{"name":"\ud800","revision":1}})",
                            R"({"metadata":[]})",
                            R"({"metadata":{"name":"x","revision":-1}})",
                            R"({"metadata":{"name":"x","revision":1e99}})"}) {
        auto const objects = decodeList(list({odd, sound("a"), odd, sound("b"), odd}));
        ASSERT_TRUE(objects) << odd;
        EXPECT_EQ(objects->objects.size(), 2U) << odd;
    }
}

// A page that ends with an entry that cannot be read. Guards against a list that ends there as if it were complete, or that reads the same
// page again and again.
TEST(FleetStoreCodecTest, AListGoesOnAfterAnEntryThatCannotBeRead)
{
    auto const named = R"({"metadata":{"name":"odd","revision":-1}})";
    EXPECT_EQ(decodeList(list({sound("a"), named}, "true"))->continueToken, "odd");
    EXPECT_EQ(decodeList(list({named}, "true"))->continueToken, "odd");
    EXPECT_EQ(decodeList(list({R"({"spec":7,"metadata":{"name":"odd"}})"}, "true"))->continueToken, "odd");
    EXPECT_EQ(decodeList(list({sound("a"), "{}", "null"}, "true"))->continueToken, "a");
    EXPECT_EQ(decodeList(list({sound("a"), named}, "false"))->continueToken, "");
    // Nothing shows where the next page begins.
    for (auto const *page : {"", "null", "{}", R"({"metadata":{"name":""}})", R"({"metadata":{"name":"\ud800","revision":1}})"})
        EXPECT_FALSE(decodeList(list({page}, "true"))) << page;
}

TEST(FleetStoreCodecTest, ATruncatedResponseIsAnError)
{
    auto const text = list({sound("a"), sound("b")});
    EXPECT_TRUE(decodeList(text));
    for (std::size_t size = 0; size < text.size(); ++size)
        EXPECT_FALSE(decodeList(std::string_view(text).substr(0, size))) << size;
    EXPECT_FALSE(decodeList(text + "}"));
    EXPECT_FALSE(decodeList(text + text));
}

// Bytes of one entry's spec are replaced at random, without ending its strings or brackets.
TEST(FleetStoreCodecTest, SpoiledBytesInAnEntryHideNoOther)
{
    RandomSource random(1);
    auto const draw = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    for (int run = 0; run < FuzzRuns; ++run) {
        auto odd = sound("odd");
        auto const begin = odd.find("spec\":{") + 7;
        auto const end = odd.find("},\"status\"");
        for (std::size_t spoiled = 0; spoiled <= draw(8); ++spoiled) {
            auto &byte = odd[begin + draw(end - begin)];
            auto const replacement = static_cast<char>(draw(256));
            constexpr std::string_view Structure = "\"\\{}[]";
            if (Structure.find(byte) == std::string_view::npos && Structure.find(replacement) == std::string_view::npos)
                byte = replacement;
        }
        auto const objects = decodeList(list({sound("a"), odd, sound("b")}));
        ASSERT_TRUE(objects) << odd;
        ASSERT_EQ(objects->objects.size(), 3U) << odd;
        static_cast<void>(FleetProtocol().readServer(ServerId("odd"), objects->objects[1].spec));
    }
}
