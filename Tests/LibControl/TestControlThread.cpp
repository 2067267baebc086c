#include "LibControl/ControlThread.h"

#include <future>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

using namespace Anvilyard;
using namespace Anvilyard::Control;

TEST(ControlThreadTest, RunsTasksInOrderOnOneThread)
{
    auto const control = ControlThread::create();
    std::vector<int> order;
    std::set<std::thread::id> threads;
    std::promise<void> done;
    for (int task = 0; task < 100; ++task)
        control->post([&, task] {
            order.push_back(task);
            threads.insert(std::this_thread::get_id());
        });
    control->post([&] { done.set_value(); });
    done.get_future().wait();
    EXPECT_EQ(threads.size(), 1U);
    EXPECT_FALSE(threads.contains(std::this_thread::get_id()));
    EXPECT_EQ(order.size(), 100U);
    EXPECT_TRUE(std::is_sorted(order.begin(), order.end()));
}

TEST(ControlThreadTest, DelayedTaskDoesNotRunBeforeItsDeadline)
{
    auto const control = ControlThread::create();
    auto const deadline = readLocalClock() + 20ms;
    std::promise<Instant> ran;
    control->postAt(deadline, [&] { ran.set_value(readLocalClock()); });
    EXPECT_GE(ran.get_future().get(), deadline);
}

/// A task runs while its owner stops. Guards against a task that finds the owner's pointer reset, which ended anvilyard-batch with a
/// segmentation fault.
TEST(ControlThreadTest, ATaskThatRunsDuringTheStopMayPost)
{
    auto control = ControlThread::create();
    std::promise<void> started;
    std::promise<void> stopping;
    bool hasPosted = false;
    control->post([&] {
        started.set_value();
        stopping.get_future().wait();
        std::this_thread::sleep_for(20ms);
        control->post([] {});
        hasPosted = true;
    });
    started.get_future().wait();
    stopping.set_value();
    control->stop();
    control.reset();
    EXPECT_TRUE(hasPosted);
}

TEST(ControlThreadTest, DestroyingDropsPendingTasks)
{
    auto control = ControlThread::create();
    control->postAt(readLocalClock() + 1h, [] {});
    control.reset();
}
