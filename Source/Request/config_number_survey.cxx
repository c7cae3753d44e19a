#include "config_number_survey.h"

namespace daisystile {

namespace {

constexpr milliseconds surveyTimeout {300};

} // namespace

config_number_survey::config_number_survey(reactor &loop, send_function ask)
    : m_loop(loop),
      m_ask(std::move(ask))
{
}

void config_number_survey::start(const std::vector<member> &members, std::function<void(std::vector<member_config_number>)> done)
{
    auto current = std::make_shared<survey>();
    current->done = std::move(done);
    current->missing = members.size();
    for (const auto &other : members) {
        current->numbers[other.id] = {other.id, other.domain};
    }
    m_running.push_back(current);
    for (const auto &other : members) {
        m_ask(other.id);
    }
    m_loop.after(members.empty() ? milliseconds {0} : surveyTimeout, [this, current] {
        std::erase(m_running, current);
        finish(*current);
    });
}

void config_number_survey::receive(const daemon_id &from, std::uint64_t number)
{
    for (const auto &current : m_running) {
        const auto found = current->numbers.find(from);
        if (found == current->numbers.end()) {
            continue;
        }
        current->missing -= found->second.answered ? 0 : 1;
        found->second.answered = true;
        found->second.number = number;
        if (current->missing == 0) {
            finish(*current);
        }
    }
}

void config_number_survey::finish(survey &current)
{
    if (!current.done) {
        return;
    }
    std::vector<member_config_number> numbers;
    numbers.reserve(current.numbers.size());
    for (const auto &[id, number] : current.numbers) {
        numbers.push_back(number);
    }
    const auto done = std::exchange(current.done, nullptr);
    done(std::move(numbers));
}

} // namespace daisystile
