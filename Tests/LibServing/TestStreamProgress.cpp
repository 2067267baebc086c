#include "LibServing/StreamProgress.h"

#include <gtest/gtest.h>

using namespace Anvilyard::Serving;

/// Guards against a stream that never counts as silent because its server sends a byte of an event now and then.
TEST(StreamProgressTest, SingleBytesOfAnEventAreNoProgress)
{
    StreamProgress progress;
    for (std::size_t sent = 1; sent < StreamProgress::MinUnfinishedBytes; ++sent)
        ASSERT_FALSE(progress.onPiece(1, 0)) << sent;
    EXPECT_TRUE(progress.onPiece(1, 0)) << "a long event that arrives slowly is progress";
    EXPECT_FALSE(progress.onPiece(1, 0));
}

/// Guards against slow but sound streams that are cut: each completed event is progress, however short it is.
TEST(StreamProgressTest, EachCompletedEventIsProgress)
{
    StreamProgress progress;
    for (int event = 0; event < 10; ++event) {
        EXPECT_FALSE(progress.onPiece(5, 0));
        EXPECT_TRUE(progress.onPiece(4, 9));
    }
}
