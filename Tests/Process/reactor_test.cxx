#include "Process/process.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

using namespace daisystile;

TEST(reactor, firesTimersInOrderAndNotCancelledOnes)
{
    reactor loop;
    std::vector<int> fired;
    loop.after(milliseconds {20}, [&] {
        fired.push_back(2);
        loop.stop();
    });
    loop.after(milliseconds {1}, [&] { fired.push_back(1); });
    const auto cancelled = loop.after(milliseconds {5}, [&] { fired.push_back(3); });
    loop.cancelTimer(cancelled);
    loop.run();
    EXPECT_EQ(fired, (std::vector<int> {1, 2}));
}

TEST(reactor, runsWhatOtherThreadsPost)
{
    reactor loop;
    int count = 0;
    std::thread other([&] {
        for (int i = 0; i < 1000; ++i) {
            loop.post([&] { count += 1; });
        }
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    other.join();
    EXPECT_EQ(count, 1000);
}
