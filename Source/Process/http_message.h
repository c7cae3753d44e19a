#pragma once

#include "http_server.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// FIFO buffer of bytes that are appended at the end and consumed from the front. Gives back its memory when it becomes empty, but
/// for a small amount.
class byte_queue
{
public:
    void append(std::string_view bytes);
    void consume(std::size_t count);
    void clear();
    std::string_view view() const;
    std::size_t size() const;
    bool empty() const;
    /// What the buffer takes, also where it isn't filled.
    std::size_t reservedBytes() const;

private:
    std::string m_bytes;
    std::size_t m_begin = 0;
};

/// An HTTP/1.1 request as received: nothing decoded, headers in their original order.
struct request_message
{
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    bool keepAlive = true;
    /// The client sent "Expect: 100-continue" and waits for an interim response before it sends the body.
    bool expectsContinue = false;

    /// The first header with this name, ignoring case; null if there is none.
    const std::string *header(std::string_view name) const;
    /// What the message takes, also where it isn't filled.
    std::size_t reservedBytes() const;
};

/// An HTTP/1.1 response as received.
struct response_message
{
    int status = 0;
    std::string reason;
    std::vector<http_header> headers;
    std::string body;
    bool keepAlive = true;

    const std::string *header(std::string_view name) const;
    /// What the message takes, also where it isn't filled.
    std::size_t reservedBytes() const;
};

enum class read_progress {
    /// More bytes are needed.
    incomplete,
    complete,
    malformed,
    head_too_large,
    body_too_large,
};

struct message_limits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 1U << 20U;

    bool operator==(const message_limits &) const = default;
};

/// Parses successive requests from the bytes of a connection.
class request_reader
{
public:
    explicit request_reader(message_limits limits);
    ~request_reader();
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    /// Consumes the input that belongs to the current request.
    read_progress read(byte_queue &input);
    /// True from the first byte of a request until take().
    bool started() const;
    bool headComplete() const;
    /// The request as parsed so far; the body is whole only after read() returned `complete`.
    const request_message &message() const;
    /// Returns the complete request; the next read() starts a new one.
    request_message take();
    /// What the request so far takes, also where it isn't filled.
    std::size_t reservedBytes() const;
    void setLimits(message_limits limits);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Whether a response with this status is final; those from 100 to 199 are interim, all others are no responses.
bool isFinalStatus(int status);

/// Parses successive responses from the bytes of a connection.
class response_reader
{
public:
    explicit response_reader(message_limits limits = {});
    ~response_reader();
    response_reader(const response_reader &) = delete;
    response_reader &operator=(const response_reader &) = delete;

    /// Skips interim responses (1xx); a status below 100 or above 599 is malformed.
    read_progress read(byte_queue &input);
    /// Handles an orderly end of the connection: `complete` if it delimits the body, `malformed` otherwise.
    read_progress end();
    bool started() const;
    /// True once the head of the final response has been read.
    bool headComplete() const;
    /// The response as parsed so far.
    const response_message &message() const;
    response_message take();
    /// What the response so far takes, also where it isn't filled.
    std::size_t reservedBytes() const;
    /// Expects a response without a body, whatever its headers say (a response to HEAD).
    void expectNoBody();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Compares header names, methods or tokens ignoring case.
bool equalIgnoringCase(std::string_view left, std::string_view right);
/// Removes leading and trailing spaces and tabs.
std::string_view trimmed(std::string_view text);
/// Whether a comma-separated list contains the token, ignoring case.
bool listHasToken(std::string_view list, std::string_view token);
/// The standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

} // namespace daisystile
