#pragma once

#include "http_server.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisystile {

/// Bytes received and not yet consumed.
class byte_queue
{
public:
    void append(std::string_view bytes);
    void consume(std::size_t count);
    void clear();
    std::string_view view() const;
    std::size_t size() const;
    bool empty() const;

private:
    std::string m_bytes;
    std::size_t m_begin = 0;
};

/// An HTTP/1.1 request as it came: nothing decoded, headers in their order.
struct request_message
{
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    bool keepAlive = true;
    /// The sender waits for 100 before it sends the body.
    bool expectsContinue = false;

    /// The first header of that name in any case, or nothing.
    const std::string *header(std::string_view name) const;
};

/// An HTTP/1.1 response as it came.
struct response_message
{
    int status = 0;
    std::string reason;
    std::vector<http_header> headers;
    std::string body;
    bool keepAlive = true;

    const std::string *header(std::string_view name) const;
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

/// Reads requests one after another from a connection's bytes.
class request_reader
{
public:
    explicit request_reader(message_limits limits);
    ~request_reader();
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    /// Consumes what belongs to the request that is being read.
    read_progress read(byte_queue &input);
    /// True from the first byte of a request until take().
    bool started() const;
    bool headComplete() const;
    /// What is known of the request so far; the body is whole only when complete.
    const request_message &message() const;
    /// The complete request; the next read begins another.
    request_message take();
    void setLimits(message_limits limits);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Reads responses one after another from a connection's bytes.
class response_reader
{
public:
    explicit response_reader(message_limits limits = {});
    ~response_reader();
    response_reader(const response_reader &) = delete;
    response_reader &operator=(const response_reader &) = delete;

    /// Interim responses (1xx) are passed over.
    read_progress read(byte_queue &input);
    /// The connection ended in order: complete if the body was to end with the connection, malformed otherwise.
    read_progress end();
    bool started() const;
    response_message take();
    /// The response to be read has no body, whatever its headers say (an answer to HEAD).
    void expectNoBody();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Compares names of headers, methods or tokens without regard to case.
bool equalIgnoringCase(std::string_view left, std::string_view right);
/// The text without spaces and tabs at its ends.
std::string_view trimmed(std::string_view text);
/// True when a comma-separated list holds the token, in any case.
bool listHasToken(std::string_view list, std::string_view token);
/// The standard phrase of a status code.
std::string_view reasonPhrase(int status);

} // namespace daisystile
