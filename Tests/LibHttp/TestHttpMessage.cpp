#include "LibHttp/AddressParser.h"
#include "LibHttp/HttpMessage.h"
#include "LibHttp/MessageSyntax.h"
#include "LibHttp/Refusal.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Http;

RC_GTEST_PROP(HttpMessage, EncodedQueryParametersRoundTrip, (std::string const &name, std::string const &value))
{
    RC_PRE(!name.empty());
    auto const encode = [](std::string const &text) { return boost::urls::encode(text, boost::urls::unreserved_chars); };
    HttpRequest const request{.method = "GET", .target = "/path?other=1&" + encode(name) + "=" + encode(value)};
    RC_PRE(name != "other");
    RC_ASSERT(request.query(name) == value);
    RC_ASSERT(request.path() == "/path");
}

RC_GTEST_PROP(HttpMessage, AnyTargetIsParsedSafely, (std::string const &target))
{
    HttpRequest const request{.method = "GET", .target = target};
    (void)request.query("name");
    RC_ASSERT(target.starts_with(request.path()));
    RC_ASSERT(request.path().find('?') == std::string_view::npos);
}

RC_GTEST_PROP(HttpMessage, HeadersCompareWithoutCaseAndSetReplacesAll, (std::string const &value))
{
    Headers headers = {{"X-A", "1"}, {"x-a", "2"}, {"B", "3"}};
    headers.set("x-A", value);
    RC_ASSERT(headers.fields().size() == 2U);
    RC_ASSERT(headers.find("X-a") == value);
    headers.remove("X-A");
    RC_ASSERT(!headers.contains("x-a"));
    RC_ASSERT(headers.find("b") == "3");
}

/// Guards against text that ends a line of a message's head early.
RC_GTEST_PROP(MessageSyntax, AcceptedTextHasNoLineEnds, ())
{
    auto const text = rc::gen::container<std::string>(
        rc::gen::oneOf(rc::gen::element('\r', '\n', '\0', ' ', ':', '\t', 'a'), rc::gen::arbitrary<char>()));
    auto const target = *text;
    auto const name = *text;
    auto const value = *text;
    if (findSyntaxFault(target, {{name, value}}))
        return;
    for (auto const *accepted : {&target, &name, &value}) {
        for (auto const forbidden : {'\r', '\n', '\0'})
            RC_ASSERT(accepted->find(forbidden) == std::string::npos);
    }
    RC_ASSERT(target.find(' ') == std::string::npos);
    RC_ASSERT(name.find_first_of(" :\t") == std::string::npos);
}

TEST(MessageSyntax, FaultsAreShownWithoutControlCharacters)
{
    EXPECT_EQ(findSyntaxFault("/a?b=%0d", {{"X-A", "b\tc"}}), std::nullopt);
    EXPECT_EQ(findSyntaxFault("/a\r\nb", {}), "\"/a\\x0d\\x0ab\" is not a request target");
    EXPECT_EQ(findSyntaxFault("", {}), "\"\" is not a request target");
    EXPECT_EQ(findSyntaxFault("/", {{"X Y", ""}}), "\"X Y\" is not a header name");
    EXPECT_EQ(findSyntaxFault("/", {{"X", "a\n"}}), "\"a\\x0a\" is not a value of the header X");
}

RC_GTEST_PROP(AddressParser, AnyTextRoundTripsOrIsRejected, ())
{
    auto const piece = rc::gen::element<std::string>("127.0.0.1", "::1", "[", "]", ":", "80", "0", "65536", "-1", "x", " ", ".");
    auto const pieces = *rc::gen::container<std::vector<std::string>>(piece);
    std::string text;
    for (auto const &part : pieces)
        text += part;
    if (auto const endpoint = parseAddress(Address(text)))
        RC_ASSERT(parseAddress(formatAddress(*endpoint)) == *endpoint);
}

TEST(AddressParser, AcceptsNumericAddressesOnly)
{
    for (auto const *const good : {"127.0.0.1:0", "127.0.0.1:65535", "[::1]:80"})
        EXPECT_TRUE(parseAddress(Address(good))) << good;
    for (auto const *const bad : {"",
                                  "localhost:80",
                                  "127.0.0.1",
                                  "127.0.0.1:",
                                  "127.0.0.1:65536",
                                  "127.0.0.1:-1",
                                  "127.0.0.1:80x",
                                  ":80",
                                  "[]:80",
                                  "[::1:80",
                                  "::1]:80"})
        EXPECT_FALSE(parseAddress(Address(bad))) << bad;
    EXPECT_FALSE(parseAddress(Address("::1:80"))) << "an IPv6 address without brackets is ambiguous";
}

RC_GTEST_PROP(Refusal, AnyMessageGivesValidJson, (std::string const &message))
{
    auto const response =
        toResponse({.status = 429, .type = "t", .code = "c", .message = message, .retryAfter = std::chrono::milliseconds(1)});
    RC_ASSERT(response.headers.find("Retry-After") == "1");
    // Quotes and line feeds in the message must be escaped.
    RC_ASSERT(response.body.find(char(10)) == std::string::npos);
    RC_ASSERT(response.body.starts_with(R"({"error":{)"));
}
