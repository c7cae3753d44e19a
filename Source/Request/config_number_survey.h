#pragma once

#include "operators_api.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace daisystile {

/// Collects the configuration numbers of all members. Runs only at an operator's request.
class config_number_survey
{
public:
    using send_function = std::function<void(const daemon_id &)>;

    config_number_survey(reactor &loop, send_function ask);

    /// Calls back once, when all members have answered or the survey times out.
    void start(const std::vector<member> &members, std::function<void(std::vector<member_config_number>)> done);
    void receive(const daemon_id &from, std::uint64_t number);

private:
    struct survey
    {
        std::map<daemon_id, member_config_number> numbers;
        std::size_t missing = 0;
        std::function<void(std::vector<member_config_number>)> done;
    };

    static void finish(survey &current);

    reactor &m_loop;
    send_function m_ask;
    std::vector<std::shared_ptr<survey>> m_running;
};

} // namespace daisystile
