#include "gate_driver.h"

#include <Connection/connection.h>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace daisystile;

static replayed_trace replayed(const std::string &text)
{
    const auto result = replayGateTrace(text);
    if (const auto *error = std::get_if<trace_syntax_error>(&result)) {
        ADD_FAILURE() << "line " << error->line << ": expected " << error->expected << ", found " << error->found;
        return {};
    }
    return std::get<replayed_trace>(result);
}

TEST(gate_trace, replaysTheRestartTraceWithTheSameDecisions)
{
    const std::ifstream file(std::string(DAISYSTILE_TRACES) + "/slot-gate-restart-seed0.trace");
    std::ostringstream text;
    text << file.rdbuf();
    const auto result = replayed(text.str());
    EXPECT_EQ(result.steps, 17U);
    ASSERT_FALSE(result.difference) << "line " << result.difference->line << ": expected " << result.difference->expected << ", found "
                                    << result.difference->found;
}

TEST(gate_trace, recordedTraceReplaysToTheSameDecisions)
{
    gate_settings settings;
    settings.slots = 2;
    slot_gate gate(settings);
    gate_recorder recorder(2, 1000);
    auto now = monotonic_time(seconds {5000});
    const auto inject = [&](const gate_event &event) {
        recorder.add(now, event, gate.decide(event, now));
        now += microseconds {700};
    };
    inject(gate_opened {1});
    for (std::uint64_t id = 1; id <= 200; ++id) {
        inject(request_arrived {{id, static_cast<urgency>(id % 3), now + milliseconds {3 + id % 7}}});
        if (id % 2 == 0) {
            inject(request_ended {id / 2, static_cast<request_end>(id % 7)});
        }
        if (id % 5 == 0) {
            inject(gate_tick {});
        }
    }
    inject(gate_closed {});
    const auto result = replayed(recorder.text());
    EXPECT_EQ(result.steps, 342U);
    EXPECT_FALSE(result.difference);
}

TEST(gate_trace, reportsTheFirstDifference)
{
    const auto result = replayed("slot_gate slots=1\n0 gate_opened allowed=0\n10 request_arrived id=1 rank=normal deadline_us=500000\n");
    ASSERT_TRUE(result.difference);
    EXPECT_EQ(result.difference->line, 3U);
    EXPECT_EQ(result.difference->expected, "");
    EXPECT_EQ(result.difference->found, "run id=1");
}

TEST(gate_trace, reportsTheLineThatCannotBeParsed)
{
    for (const char *bad : {"", "x gate_tick", "5", "5 gate_jump", "5 request_ended id=1 end=never", "5 request_ended id=x end=good", "5 gate_opened"}) {
        const auto result = replayGateTrace("slot_gate slots=1\n#\n" + std::string(bad) + " \n");
        if (std::string_view(bad).empty()) {
            EXPECT_EQ(std::get<trace_syntax_error>(replayGateTrace(bad)).line, 1U);
        } else {
            ASSERT_TRUE(std::holds_alternative<trace_syntax_error>(result)) << bad;
            EXPECT_EQ(std::get<trace_syntax_error>(result).line, 3U) << bad;
        }
    }
}

TEST(gate_trace, recorderStopsAtItsLimit)
{
    gate_recorder recorder(1, 2);
    for (int i = 0; i < 5; ++i) {
        recorder.add(monotonic_time(seconds {1 + i}), gate_tick {}, {});
    }
    EXPECT_EQ(recorder.text(), "slot_gate slots=1\n0 gate_tick\n1000000 gate_tick\n");
}
