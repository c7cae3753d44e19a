#include "number_survey.h"

namespace daisystile {

namespace {

constexpr milliseconds longestSurvey {300};

} // namespace

number_survey::number_survey(reactor &loop, send_function ask)
    : m_loop(loop),
      m_ask(std::move(ask))
{
}

void number_survey::start(const std::vector<member> &members, std::function<void(std::vector<member_number>)> done)
{
    auto one = std::make_shared<survey>();
    one->done = std::move(done);
    one->missing = members.size();
    for (const auto &other : members) {
        one->numbers[other.id] = {other.id, other.domain};
    }
    m_running.push_back(one);
    for (const auto &other : members) {
        m_ask(other.id);
    }
    m_loop.after(members.empty() ? milliseconds {0} : longestSurvey, [this, one] {
        std::erase(m_running, one);
        finish(*one);
    });
}

void number_survey::heard(const daemon_id &from, std::uint64_t number)
{
    for (const auto &one : m_running) {
        const auto found = one->numbers.find(from);
        if (found == one->numbers.end()) {
            continue;
        }
        one->missing -= found->second.answered ? 0 : 1;
        found->second.answered = true;
        found->second.number = number;
        if (one->missing == 0) {
            finish(*one);
        }
    }
}

void number_survey::finish(survey &one)
{
    if (!one.done) {
        return;
    }
    std::vector<member_number> numbers;
    numbers.reserve(one.numbers.size());
    for (const auto &[id, number] : one.numbers) {
        numbers.push_back(number);
    }
    const auto done = std::exchange(one.done, nullptr);
    done(std::move(numbers));
}

} // namespace daisystile
