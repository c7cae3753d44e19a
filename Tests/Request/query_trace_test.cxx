#include "query_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace daisystile;

namespace {

// Replays one trace file: events are processed by the decision code of a daemon, and expect lines state the expected
// outcome.
class query_trace
{
public:
    explicit query_trace(const std::filesystem::path &file)
        : m_file(file)
    {
    }

    void replay()
    {
        std::ifstream file(m_file);
        std::string line;
        while (std::getline(file, line)) {
            m_line += 1;
            if (!line.empty() && line[0] != '#') {
                runLine(line);
            }
        }
        EXPECT_GT(m_expectations, 0) << m_file;
    }

private:
    void runLine(const std::string &line)
    {
        std::istringstream words(line);
        std::string word;
        std::string verb;
        m_values.clear();
        while (words >> word) {
            const auto equals = word.find('=');
            if (equals == std::string::npos) {
                verb = word;
            } else {
                m_values[word.substr(0, equals)] = word.substr(equals + 1);
            }
        }
        if (verb == "expect") {
            checkExpectations();
        } else if (verb == "service") {
            m_fixture = query_fixture(number("shards"), number("replicas"));
            updateCatalogue(m_fixture.serving, query_fixture::makeService(number("shards"), number("replicas"), m_values["snapshot"], number("map")));
        } else if (verb == "budget") {
            m_fixture.budget.addFirstAttempts(number("tokens"), 1);
        } else if (verb == "canary") {
            m_fixture.plan.canary = shard_index {number("shard")};
        } else if (verb == "start") {
            m_actions = m_fixture.start();
        } else {
            runEvent(verb);
        }
    }

    void runEvent(const std::string &verb)
    {
        static const std::map<std::string, attempt_failure> failures {
            {"shed", attempt_failure::shed},
            {"draining", attempt_failure::draining},
            {"domain_out", attempt_failure::domain_out},
            {"server_lost", attempt_failure::server_lost},
            {"not_owner", attempt_failure::not_owner},
            {"snapshot_not_held", attempt_failure::snapshot_not_held},
        };
        const milliseconds at {number("at")};
        const auto shard = number("shard");
        if (verb == "timer") {
            m_actions = m_fixture.run(timer_fired {}, at);
        } else if (verb == "judged") {
            const auto verdict = m_values["verdict"];
            m_actions = m_fixture.run(crash_verdict {{shard}, verdict == "retry", verdict == "quarantined"}, at);
        } else if (verb == "fail") {
            m_actions = m_fixture.run(m_fixture.failureOf(shard, failures.at(m_values["reason"]), m_values["held"]), at);
        } else if (verb == "answer") {
            m_answers[shard] = m_fixture.answerOf(shard);
            m_actions = m_fixture.run(withOverrides(m_answers[shard]), at);
        } else if (verb == "late") {
            m_actions = m_fixture.run(m_answers.at(shard), at);
        } else {
            ADD_FAILURE() << m_file << ":" << m_line << ": unknown event " << verb;
        }
    }

    shard_answer withOverrides(shard_answer answer)
    {
        if (m_values.contains("snapshot")) {
            answer.snapshot = {m_values["snapshot"]};
        }
        if (m_values.contains("map")) {
            answer.mapVersion = {number("map")};
        }
        return answer;
    }

    std::uint32_t number(const std::string &name)
    {
        const auto found = m_values.find(name);
        return found == m_values.end() ? 0 : static_cast<std::uint32_t>(std::stoul(found->second));
    }

    void checkExpectations()
    {
        for (const auto &[name, expected] : m_values) {
            m_expectations += 1;
            EXPECT_EQ(observed(name), expected) << m_file << ":" << m_line << ": " << name;
        }
    }

    std::string observed(const std::string &name) const
    {
        const auto &state = m_fixture.state;
        const std::map<std::string, std::size_t> counts {
            {"sends", actionsOf<send_attempt>(m_actions).size()},
            {"sends_elsewhere", sendsElsewhere()},
            {"cancels", actionsOf<cancel_attempt>(m_actions).size()},
            {"crashes", actionsOf<report_crash>(m_actions).size()},
            {"cleared", actionsOf<report_trial_passed>(m_actions).size()},
            {"covered", state.answered},
            {"extra", state.extraAttempts},
            {"dropped_late", state.dropped.late},
            {"dropped_mixed", state.dropped.mixed},
        };
        if (const auto found = counts.find(name); found != counts.end()) {
            return std::to_string(found->second);
        }
        if (name == "snapshot") {
            return state.snapshot.value;
        }
        if (name == "outcome") {
            return outcomeText(outcomeOf(m_actions));
        }
        if (name.starts_with("missing_")) {
            return toString(missingReason(state.shards.at(std::stoul(name.substr(8)))));
        }
        return "unknown name";
    }

    // Counts attempts on servers that the shard has not tried before.
    std::size_t sendsElsewhere() const
    {
        const auto sends = actionsOf<send_attempt>(m_actions);
        return static_cast<std::size_t>(std::count_if(sends.begin(), sends.end(), [this](const send_attempt &sent) {
            const auto &shard = m_fixture.state.shards.at(sent.shard.value);
            const auto before = shard.attempts.begin() + shard.attemptCount - 1;
            return std::none_of(shard.attempts.begin(), before, [&](const attempt_state &other) { return other.server == sent.server; });
        }));
    }

    static std::string outcomeText(std::optional<query_outcome> outcome)
    {
        static const std::map<query_outcome, std::string> names {
            {query_outcome::complete, "complete"},
            {query_outcome::partial, "partial"},
            {query_outcome::too_little_coverage, "too_little_coverage"},
            {query_outcome::quarantined, "quarantined"},
        };
        return outcome ? names.at(*outcome) : "none";
    }

    std::filesystem::path m_file;
    int m_line = 0;
    int m_expectations = 0;
    query_fixture m_fixture;
    query_actions m_actions;
    std::map<std::string, std::string> m_values;
    std::map<std::uint32_t, shard_answer> m_answers;
};

} // namespace

TEST(query_trace, everyTraceEndsAsStated)
{
    int files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(DAISYSTILE_TRACES)) {
        const auto &path = entry.path();
        if (path.extension() == ".trace" && path.filename().string().starts_with("query-")) {
            query_trace(path).replay();
            files += 1;
        }
    }
    EXPECT_GE(files, 8);
}
