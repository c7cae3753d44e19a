#include "Process/log_writer.h"

#include <gtest/gtest.h>

#include <array>
#include <unistd.h>

using namespace daisystile;

TEST(log_rate_limiter, limitsTheRateAndCountsDroppedLines)
{
    log_rate_limiter limiter;
    std::uint64_t now = 1000000;
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        taken += limiter.take(now) ? 1 : 0;
    }
    EXPECT_EQ(taken, static_cast<int>(log_rate_limiter::burst));
    EXPECT_EQ(limiter.takeDroppedCount(), 920U);
    EXPECT_EQ(limiter.takeDroppedCount(), 0U);
    now += 1000000;
    taken = 0;
    for (int i = 0; i < 1000; ++i) {
        taken += limiter.take(now) ? 1 : 0;
    }
    EXPECT_EQ(taken, static_cast<int>(log_rate_limiter::linesPerSecond));
}

static void sendLine(log_writer &writer, google::LogSeverity severity, const std::string &text)
{
    writer.send(severity, "", "", 0, google::LogMessageTime(), text.data(), text.size());
}

static std::string readAll(int handle)
{
    std::string text;
    std::array<char, 65536> bytes;
    for (auto count = read(handle, bytes.data(), bytes.size()); count > 0; count = read(handle, bytes.data(), bytes.size())) {
        text.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return text;
}

TEST(log_writer, startsLinesWithATimestampAndKeepsWarningsDespiteManyInfoLines)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    {
        log_writer writer(ends[1]);
        for (int i = 0; i < 500; ++i) {
            sendLine(writer, google::GLOG_INFO, "answer: Request ended. request=" + std::to_string(i));
        }
        sendLine(writer, google::GLOG_WARNING, "answer: Request\nended. request=last");
    }
    close(ends[1]);
    const auto text = readAll(ends[0]);
    close(ends[0]);
    EXPECT_NE(text.find("Z WARNING answer: Request ended. request=last\n"), std::string::npos);
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 82);
    EXPECT_EQ(text.find("20"), 0U);
}

// A log pipe without a reader must not block the threads that log; lines are dropped once the queue is full.
TEST(log_writer, doesNotBlockOnAPipeWithoutAReader)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    log_writer writer(ends[1]);
    const std::string longText(20000, 'x');
    for (int i = 0; i < 4000; ++i) {
        sendLine(writer, google::GLOG_WARNING, "part" + std::to_string(i) + ": " + longText);
    }
    EXPECT_GT(writer.dropped(), 3000U);
    close(ends[0]);
}
