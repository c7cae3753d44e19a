#include "http_message.h"

#include "heap_size.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <utility>

namespace daisystile {

namespace beast = boost::beast::http;

namespace {

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

const std::string *findHeader(const std::vector<http_header> &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &header) { return equalIgnoringCase(header.name, name); });
    return found == headers.end() ? nullptr : &found->value;
}

void setStartLine(request_message &message, std::string_view method, std::string_view target)
{
    message.method = method;
    message.target = target;
}

void setStartLine(response_message &message, int status, std::string_view reason)
{
    message.status = status;
    message.reason = reason;
}

constexpr int firstInterimStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastFinalStatus = 599;

std::size_t reservedBytesOf(const std::vector<http_header> &headers)
{
    std::size_t bytes = heapBlockBytes(headers.capacity() * sizeof(http_header));
    for (const auto &header : headers) {
        bytes += heapBytesOf(header.name) + heapBytesOf(header.value);
    }
    return bytes;
}

// A field's colon and the end of its line.
constexpr std::size_t minFieldMarkBytes = 3;

/// Beast parser that fills a request_message or response_message.
template<bool isRequest, class Message> class message_parser : public beast::basic_parser<isRequest>
{
public:
    explicit message_parser(message_limits limits)
        : m_maxHeadBytes(limits.headBytes),
          m_maxBody(limits.bodyBytes)
    {
        this->header_limit(limits.headBytes);
        this->body_limit(limits.bodyBytes);
        this->eager(true);
    }

    Message message;

    /// Fields are stored as they arrive, also those of a head that never ends.
    std::size_t reservedBytes() const
    {
        return heapBlockBytes(message.headers.capacity() * sizeof(http_header)) + m_fieldHeapBytes + heapBytesOf(message.body);
    }

protected:
    using error_code = boost::beast::error_code;
    using text_view = boost::beast::string_view;

    // NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(beast::verb, text_view method, text_view target, int, error_code &) override
    {
        if constexpr (isRequest) {
            setStartLine(message, viewOf(method), viewOf(target));
        }
    }

    void on_response_impl(int status, text_view reason, int, error_code &error) override
    {
        if constexpr (!isRequest) {
            setStartLine(message, status, viewOf(reason));
            if (status < firstInterimStatus || status > lastFinalStatus) {
                error = beast::error::bad_status;
            }
        }
    }

    // The parser applies its limit only to what it hasn't consumed, and it consumes whole lines of an unfinished head.
    void on_field_impl(beast::field, text_view name, text_view value, error_code &error) override
    {
        m_linesBytes += name.size() + value.size() + minFieldMarkBytes;
        if (m_linesBytes > m_maxHeadBytes) {
            error = beast::error::header_limit;
            return;
        }
        const auto &added = message.headers.emplace_back(http_header {std::string(viewOf(name)), std::string(viewOf(value))});
        m_fieldHeapBytes += heapBytesOf(added.name) + heapBytesOf(added.value);
    }

    // A trailer that follows has a limit of its own.
    void on_header_impl(error_code &) override
    {
        m_linesBytes = 0;
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &) override
    {
        if (length) {
            m_maxBody = *length;
            message.body.reserve(std::min(*length, maxReservedBytes));
        }
    }

    std::size_t on_body_impl(text_view body, error_code &) override
    {
        appendBody(body);
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, text_view, error_code &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, text_view body, error_code &) override
    {
        appendBody(body);
        return body.size();
    }

    void on_finish_impl(error_code &) override
    {
    }
    // NOLINTEND(readability-identifier-naming)

private:
    // A string that grows in place doubles what it takes, also beyond the longest body that can follow.
    void appendBody(text_view bytes)
    {
        const auto needed = message.body.size() + bytes.size();
        if (needed > message.body.capacity()) {
            const std::uint64_t doubled = std::max<std::uint64_t>(2 * message.body.capacity(), needed);
            std::string grown;
            grown.reserve(std::max<std::uint64_t>(std::min(doubled, m_maxBody), needed));
            grown.append(message.body);
            message.body = std::move(grown);
        }
        message.body.append(bytes.data(), bytes.size());
    }

    static constexpr std::uint64_t maxReservedBytes = 65536;

    std::size_t m_maxHeadBytes;
    std::uint64_t m_maxBody;
    // Of the head, or of the trailer.
    std::size_t m_linesBytes = 0;
    std::size_t m_fieldHeapBytes = 0;
};

read_progress failureOf(const boost::beast::error_code &error)
{
    if (error == beast::error::header_limit) {
        return read_progress::head_too_large;
    }
    return error == beast::error::body_limit ? read_progress::body_too_large : read_progress::malformed;
}

// The parser leaves an unfinished line, such as the extension of a chunk, in the input. Lines are as long as a head at most.
template<class Parser> read_progress feed(Parser &parser, byte_queue &input, const message_limits &limits)
{
    while (!parser.is_done() && !input.empty()) {
        const auto bytes = input.view();
        boost::beast::error_code error;
        const auto used = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        input.consume(used);
        if (error == beast::error::need_more) {
            return input.size() > limits.headBytes ? read_progress::head_too_large : read_progress::incomplete;
        }
        if (error) {
            return failureOf(error);
        }
    }
    return parser.is_done() ? read_progress::complete : read_progress::incomplete;
}

// Before one final response; a server that sends more may never send a final one.
constexpr unsigned maxInterimResponses = 16;
constexpr std::size_t compactThresholdBytes = 65536;
// An empty buffer keeps this much, enough for most requests, so that it isn't allocated for each again.
constexpr std::size_t maxKeptBytes = 2048;

} // namespace

void byte_queue::append(std::string_view bytes)
{
    if (m_begin == m_bytes.size()) {
        clear();
    } else if (m_begin > compactThresholdBytes) {
        m_bytes.erase(0, m_begin);
        m_begin = 0;
    }
    m_bytes.append(bytes);
}

void byte_queue::consume(std::size_t count)
{
    m_begin += std::min(count, size());
    if (empty()) {
        clear();
    }
}

void byte_queue::clear()
{
    m_bytes.clear();
    m_begin = 0;
    if (m_bytes.capacity() > maxKeptBytes) {
        m_bytes.shrink_to_fit();
    }
}

std::size_t byte_queue::reservedBytes() const
{
    return m_bytes.capacity();
}

std::string_view byte_queue::view() const
{
    return std::string_view(m_bytes).substr(m_begin);
}

std::size_t byte_queue::size() const
{
    return m_bytes.size() - m_begin;
}

bool byte_queue::empty() const
{
    return size() == 0;
}

const std::string *request_message::header(std::string_view name) const
{
    return findHeader(headers, name);
}

const std::string *response_message::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::size_t request_message::reservedBytes() const
{
    return heapBytesOf(method) + heapBytesOf(target) + reservedBytesOf(headers) + heapBytesOf(body);
}

std::size_t response_message::reservedBytes() const
{
    return heapBytesOf(reason) + reservedBytesOf(headers) + heapBytesOf(body);
}

struct request_reader::implementation
{
    using parser_type = message_parser<true, request_message>;

    explicit implementation(message_limits messageLimits)
        : limits(messageLimits)
    {
    }

    void begin()
    {
        parser = std::make_unique<parser_type>(limits);
    }

    message_limits limits;
    std::unique_ptr<parser_type> parser = std::make_unique<parser_type>(limits);
};

request_reader::request_reader(message_limits limits)
    : m_implementation(std::make_unique<implementation>(limits))
{
}

request_reader::~request_reader() = default;

read_progress request_reader::read(byte_queue &input)
{
    auto &parser = *m_implementation->parser;
    const auto progress = feed(parser, input, m_implementation->limits);
    if (parser.is_header_done()) {
        const auto *expectation = parser.message.header("expect");
        parser.message.expectsContinue = expectation != nullptr && equalIgnoringCase(*expectation, "100-continue");
        parser.message.keepAlive = parser.keep_alive();
    }
    return progress;
}

bool request_reader::started() const
{
    return m_implementation->parser->got_some();
}

bool request_reader::headComplete() const
{
    return m_implementation->parser->is_header_done();
}

const request_message &request_reader::message() const
{
    return m_implementation->parser->message;
}

request_message request_reader::take()
{
    auto message = std::move(m_implementation->parser->message);
    m_implementation->begin();
    return message;
}

std::size_t request_reader::reservedBytes() const
{
    return m_implementation->parser->reservedBytes();
}

void request_reader::setLimits(message_limits limits)
{
    if (limits == m_implementation->limits) {
        return;
    }
    m_implementation->limits = limits;
    if (!started()) {
        m_implementation->begin();
    }
}

bool isFinalStatus(int status)
{
    return status >= firstFinalStatus && status <= lastFinalStatus;
}

struct response_reader::implementation
{
    using parser_type = message_parser<false, response_message>;

    explicit implementation(message_limits messageLimits)
        : limits(messageLimits)
    {
    }

    void begin()
    {
        parser = std::make_unique<parser_type>(limits);
    }

    read_progress finish(read_progress progress)
    {
        if (progress == read_progress::complete) {
            parser->message.keepAlive = parser->keep_alive();
        }
        return progress;
    }

    message_limits limits;
    unsigned interimResponses = 0;
    std::unique_ptr<parser_type> parser = std::make_unique<parser_type>(limits);
};

response_reader::response_reader(message_limits limits)
    : m_implementation(std::make_unique<implementation>(limits))
{
}

response_reader::~response_reader() = default;

read_progress response_reader::read(byte_queue &input)
{
    while (true) {
        const auto progress = feed(*m_implementation->parser, input, m_implementation->limits);
        if (progress != read_progress::complete || isFinalStatus(m_implementation->parser->message.status)) {
            return m_implementation->finish(progress);
        }
        m_implementation->interimResponses += 1;
        if (m_implementation->interimResponses > maxInterimResponses) {
            return read_progress::malformed;
        }
        m_implementation->begin();
    }
}

read_progress response_reader::end()
{
    auto &parser = *m_implementation->parser;
    if (!parser.is_header_done()) {
        return read_progress::malformed;
    }
    boost::beast::error_code error;
    parser.put_eof(error);
    return m_implementation->finish(error ? read_progress::malformed : read_progress::complete);
}

bool response_reader::started() const
{
    return m_implementation->parser->got_some();
}

bool response_reader::headComplete() const
{
    return m_implementation->parser->is_header_done() && isFinalStatus(m_implementation->parser->message.status);
}

const response_message &response_reader::message() const
{
    return m_implementation->parser->message;
}

response_message response_reader::take()
{
    auto message = std::move(m_implementation->parser->message);
    m_implementation->interimResponses = 0;
    m_implementation->begin();
    return message;
}

std::size_t response_reader::reservedBytes() const
{
    return m_implementation->parser->reservedBytes();
}

void response_reader::expectNoBody()
{
    m_implementation->parser->skip(true);
}

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

bool listHasToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (equalIgnoringCase(trimmed(list.substr(0, comma)), token)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

std::string_view reasonPhrase(int status)
{
    return viewOf(beast::obsolete_reason(beast::int_to_status(static_cast<unsigned>(status))));
}

} // namespace daisystile
