#include "Process/process.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
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

TEST(reactor, runsCallbacksPostedByOtherThreads)
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

TEST(reactor, opensUnderALowDescriptorLimit)
{
    rlimit before {};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    const rlimit low {.rlim_cur = 256, .rlim_max = before.rlim_max};
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &low), 0);
    {
        reactor loop;
        EXPECT_TRUE(loop.opened());
        bool fired = false;
        loop.after(milliseconds {1}, [&] {
            fired = true;
            loop.stop();
        });
        loop.run();
        EXPECT_TRUE(fired);
    }
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
}

TEST(reactor, destroysCallbacksBeforeTheEventLoop)
{
    struct watched_pipe
    {
        explicit watched_pipe(reactor &eventLoop)
            : loop(eventLoop)
        {
            EXPECT_EQ(pipe(ends.data()), 0);
            loop.watch(ends[0], {.read = true, .write = false}, [] {});
        }

        ~watched_pipe()
        {
            loop.unwatch(ends[0]);
            close(ends[0]);
            close(ends[1]);
        }

        reactor &loop;
        std::array<int, 2> ends {};
    };
    reactor loop;
    auto timed = std::make_shared<watched_pipe>(loop);
    auto waiting = std::make_shared<watched_pipe>(loop);
    loop.after(seconds {10}, [timed] {});
    loop.post([waiting] {});
}

TEST(reactor, watchesAReusedDescriptorThatWasClosedBeforeUnwatch)
{
    reactor loop;
    int calls = 0;
    for (int round = 0; round < 3; ++round) {
        std::array<int, 2> ends {};
        ASSERT_EQ(pipe(ends.data()), 0);
        loop.watch(ends[0], {.read = true, .write = false}, [&] {
            calls += 1;
            loop.stop();
        });
        ASSERT_EQ(write(ends[1], "x", 1), 1);
        loop.run();
        close(ends[0]);
        loop.unwatch(ends[0]);
        close(ends[1]);
        // Lets the event loop free the removed handler.
        loop.post([&] { loop.stop(); });
        loop.run();
    }
    EXPECT_EQ(calls, 3);
}

TEST(reactor, unwatchesADescriptorThatItsOwnCallbackClosed)
{
    reactor loop;
    int calls = 0;
    for (int round = 0; round < 3; ++round) {
        std::array<int, 2> ends {};
        ASSERT_EQ(pipe(ends.data()), 0);
        loop.watch(ends[0], {.read = true, .write = false}, [&] {
            calls += 1;
            close(ends[0]);
            loop.unwatch(ends[0]);
            loop.stop();
        });
        ASSERT_EQ(write(ends[1], "x", 1), 1);
        loop.after(seconds {2}, [&] { loop.stop(); });
        loop.run();
        close(ends[1]);
        loop.post([&] { loop.stop(); });
        loop.run();
    }
    EXPECT_EQ(calls, 3);
}
