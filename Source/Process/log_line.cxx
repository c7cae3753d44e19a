#include "log_line.h"

#include <algorithm>
#include <charconv>

namespace daisystile {

static char *putDigits(char *end, std::int64_t value, int count)
{
    constexpr std::int64_t base = 10;
    for (int i = 0; i < count; ++i) {
        *--end = static_cast<char>('0' + value % base);
        value /= base;
    }
    return end;
}

// gmtime_r() takes the lock of the time zone, which a thread that has crashed may hold.
log_time::log_time(std::chrono::system_clock::time_point time)
{
    using namespace std::chrono;
    const auto day = floor<days>(time);
    const year_month_day date(day);
    const hh_mm_ss clock(floor<microseconds>(time - day));
    char *place = m_text.data() + m_text.size();
    *--place = 'Z';
    place = putDigits(place, clock.subseconds().count(), 6);
    *--place = '.';
    place = putDigits(place, clock.seconds().count(), 2);
    *--place = ':';
    place = putDigits(place, clock.minutes().count(), 2);
    *--place = ':';
    place = putDigits(place, clock.hours().count(), 2);
    *--place = 'T';
    place = putDigits(place, static_cast<unsigned>(date.day()), 2);
    *--place = '-';
    place = putDigits(place, static_cast<unsigned>(date.month()), 2);
    *--place = '-';
    putDigits(place, static_cast<int>(date.year()), 4);
}

std::string_view log_time::text() const
{
    return {m_text.data(), m_text.size()};
}

log_line::log_line(google::LogSeverity severity, std::string_view message)
{
    append(log_time(std::chrono::system_clock::now()).text());
    append(" ");
    append(google::GetLogSeverityName(severity));
    append(" ");
    append(message);
}

void log_line::add(std::string_view key, std::string_view value)
{
    append(" ");
    append(key);
    append("=\"");
    const auto start = m_size;
    append(value);
    std::replace_if(
        m_text.begin() + start, m_text.begin() + m_size, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '"'; }, ' ');
    append("\"");
}

void log_line::add(std::string_view key, std::uint64_t value)
{
    std::array<char, 20> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    append(" ");
    append(key);
    append("=");
    append({digits.data(), static_cast<std::size_t>(end - digits.data())});
}

std::string_view log_line::finish()
{
    m_text[m_size] = '\n';
    return {m_text.data(), m_size + 1};
}

void log_line::append(std::string_view text)
{
    // Leaves room for the end of the line.
    const auto count = std::min(text.size(), m_text.size() - 1 - m_size);
    std::copy_n(text.begin(), count, m_text.begin() + m_size);
    m_size += count;
}

} // namespace daisystile
