#include <Process/process.h>

#include <gtest/gtest.h>
#include <odd_status_lines.h>

using namespace daisystile;

namespace {

constexpr message_limits limits {.headBytes = 1024, .bodyBytes = 10000};
constexpr std::size_t maxFedBytes = 1U << 20U;

/// Feeds the start and then the filler again and again until the reader ends. Returns `incomplete` if it accepts a megabyte.
template<class Reader> read_progress feedEndlessly(std::string_view start, std::string_view filler)
{
    Reader reader(limits);
    byte_queue input;
    input.append(start);
    for (std::size_t fed = 0; fed < maxFedBytes; fed += filler.size()) {
        input.append(filler);
        const auto progress = reader.read(input);
        if (progress != read_progress::incomplete) {
            return progress;
        }
    }
    return read_progress::incomplete;
}

} // namespace

TEST(response_reader, endsAResponseWithoutEnd)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    EXPECT_EQ(feedEndlessly<response_reader>(ok, "Filler: 0123456789abcdef\r\n"), read_progress::head_too_large);
    EXPECT_EQ(feedEndlessly<response_reader>(ok + "Filler: ", "0123456789abcdef"), read_progress::head_too_large);
    EXPECT_EQ(feedEndlessly<response_reader>(ok + "\r\n", "0123456789abcdef"), read_progress::body_too_large);
    EXPECT_EQ(feedEndlessly<response_reader>("", "HTTP/1.1 102 Processing\r\n\r\n"), read_progress::malformed);
    const auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(feedEndlessly<response_reader>(chunked, "4\r\nabcd\r\n"), read_progress::body_too_large);
    EXPECT_EQ(feedEndlessly<response_reader>(chunked + "5;", "0123456789abcdef"), read_progress::head_too_large);
    EXPECT_NE(feedEndlessly<response_reader>(chunked + "0\r\n", "Filler: 0123456789abcdef\r\n"), read_progress::incomplete);
    EXPECT_EQ(feedEndlessly<response_reader>("", std::string(64, '\0')), read_progress::malformed);
}

TEST(request_reader, endsARequestWithoutEnd)
{
    const std::string post = "POST / HTTP/1.1\r\n";
    EXPECT_EQ(feedEndlessly<request_reader>(post, "Filler: 0123456789abcdef\r\n"), read_progress::head_too_large);
    EXPECT_NE(feedEndlessly<request_reader>("", "GGGGGGGGGGGGGGGG"), read_progress::incomplete);
    const auto chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(feedEndlessly<request_reader>(chunked, "4\r\nabcd\r\n"), read_progress::body_too_large);
    EXPECT_EQ(feedEndlessly<request_reader>(chunked + "5;", "0123456789abcdef"), read_progress::head_too_large);
    EXPECT_NE(feedEndlessly<request_reader>(chunked + "0\r\n", "Filler: 0123456789abcdef\r\n"), read_progress::incomplete);
}

// Pieces that end just behind a line were consumed one by one, and the limit was applied to the last one alone.
TEST(request_reader, endsAHeadThatArrivesLineByLine)
{
    EXPECT_EQ(feedEndlessly<request_reader>("POST / HTTP/1.1\r\na", ":\r\na"), read_progress::head_too_large);
    EXPECT_EQ(feedEndlessly<response_reader>("HTTP/1.1 200 OK\r\na", ":\r\na"), read_progress::head_too_large);
}

TEST(request_reader, takesAHeadOfTheLargestSizeInAnyPieces)
{
    const std::string start = "POST / HTTP/1.1\r\n";
    std::string head = start;
    while (head.size() + 6 < limits.headBytes) {
        head += "a:\r\n";
    }
    head += "\r\n";
    for (const std::size_t pieceBytes : {std::size_t {1}, std::size_t {5}, head.size()}) {
        request_reader reader(limits);
        byte_queue input;
        auto progress = read_progress::incomplete;
        for (std::size_t at = 0; at < head.size(); at += pieceBytes) {
            input.append(std::string_view(head).substr(at, pieceBytes));
            progress = reader.read(input);
        }
        EXPECT_EQ(progress, read_progress::complete) << pieceBytes;
    }
}

TEST(response_reader, skipsInterimResponses)
{
    response_reader reader(limits);
    byte_queue input;
    input.append("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    EXPECT_EQ(reader.read(input), read_progress::incomplete);
    EXPECT_FALSE(reader.headComplete());
    input.append("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
    EXPECT_EQ(reader.read(input), read_progress::incomplete);
    EXPECT_TRUE(reader.headComplete());
    input.append("ok");
    EXPECT_EQ(reader.read(input), read_progress::complete);
    EXPECT_EQ(reader.take().body, "ok");
}

// What an empty buffer kept stayed with each connection that was being closed.
TEST(byte_queue, givesBackWhatItReserved)
{
    byte_queue queue;
    queue.append(std::string(100000, 'a'));
    EXPECT_GE(queue.reservedBytes(), 100000U);
    queue.consume(100000);
    EXPECT_LT(queue.reservedBytes(), 4096U);
    queue.append(std::string(100000, 'a'));
    queue.clear();
    EXPECT_LT(queue.reservedBytes(), 4096U);
}

// A string that grows takes up to twice its size, and a head of short fields many times the bytes that were sent.
TEST(request_reader, reservesNoMoreThanTheBodyCanNeedAndCountsFields)
{
    request_reader reader({.headBytes = 16384, .bodyBytes = 140000});
    byte_queue input;
    input.append("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    EXPECT_EQ(reader.read(input), read_progress::incomplete);
    for (int i = 0; i < 139999; ++i) {
        input.append("1\r\nb\r\n");
        ASSERT_EQ(reader.read(input), read_progress::incomplete) << i;
    }
    EXPECT_GE(reader.reservedBytes(), 139999U);
    EXPECT_LT(reader.reservedBytes(), 142000U);

    request_reader fields({.headBytes = 16384, .bodyBytes = 1});
    std::string head = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 2000; ++i) {
        head += "a:b\r\n";
    }
    input.clear();
    input.append(head + "Content-Length: 1\r\n\r\n");
    EXPECT_EQ(fields.read(input), read_progress::incomplete);
    EXPECT_GE(fields.reservedBytes(), 2000 * sizeof(http_header));
}

// A status of 000 was skipped like an interim response, and 600 to 999 were passed on.
TEST(response_reader, takesNothingElseForAStatus)
{
    for (const auto line : oddStatusLines) {
        response_reader reader(limits);
        byte_queue input;
        input.append("HTTP/1.1 " + std::string(line) + "\r\nContent-Length: 1\r\n\r\nx");
        EXPECT_EQ(reader.read(input), read_progress::malformed) << line;
        EXPECT_FALSE(reader.headComplete()) << line;
    }
    for (const auto *line : {"200 OK", "599 Last"}) {
        response_reader reader(limits);
        byte_queue input;
        input.append("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Last\r\n\r\nHTTP/1.1 " + std::string(line) + "\r\nContent-Length: 1\r\n\r\nx");
        EXPECT_EQ(reader.read(input), read_progress::complete) << line;
    }
}
