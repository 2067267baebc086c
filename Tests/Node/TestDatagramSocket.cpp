#include "Services/Node/DatagramSocket.h"

#include <gtest/gtest.h>
#include <stdexcept>

using namespace Anvilyard;
using namespace Anvilyard::Node;

/// Guards against an instance that receives no further datagram of its peers after one whose handler threw an exception.
TEST(DatagramSocketTest, DatagramsAreReceivedAfterOneWhoseHandlerThrew)
{
    Http::EventLoop loop;
    bool isReceived = false;
    auto const socket = DatagramSocket::open(loop, Address("127.0.0.1:0"), [&](std::string_view content) {
        if (content == "fails")
            throw std::runtime_error("the handler failed");
        isReceived = true;
        loop.stop();
    });
    ASSERT_TRUE(socket);
    (*socket)->send((*socket)->address(), "fails");
    EXPECT_THROW(loop.run(), std::runtime_error);
    (*socket)->send((*socket)->address(), "next");
    // Ends the test if the datagram does not arrive.
    auto const guard = loop.at(readLocalClock() + 10s, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(isReceived);
}
