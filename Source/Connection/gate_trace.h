#pragma once

#include "slot_gate.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisystile {

/// One recorded event of a slot gate with the resulting actions. The time is relative to the start of the trace.
struct gate_trace_step
{
    microseconds at {0};
    gate_event event;
    std::vector<gate_action> actions;
};

/// The text of one step, such as "1200 request_arrived id=1 rank=interactive deadline_us=90000 => run id=1".
std::string toText(const gate_trace_step &step);
/// The text of a step's actions; empty if there are none.
std::string toText(const std::vector<gate_action> &actions);

/// A line that can't be parsed as a step of a trace.
struct trace_syntax_error
{
    std::size_t line = 0;
    std::string expected;
    std::string found;
};

/// The first step whose actions differ from the recorded ones.
struct trace_difference
{
    std::size_t line = 0;
    std::string expected;
    std::string found;
};

struct replayed_trace
{
    std::size_t steps = 0;
    /// One line per step, with the actions of the replay.
    std::string decisions;
    std::optional<trace_difference> difference;
};

/// Replays a recorded trace with a new gate. The first line states the gate's number of slots: "slot_gate slots=3".
std::variant<replayed_trace, trace_syntax_error> replayGateTrace(std::string_view text);

/// Records the steps of a gate from its creation, up to a limit. Keeps the first steps, because a trace without its start
/// can't be replayed.
class gate_recorder
{
public:
    gate_recorder(std::uint32_t slots, std::size_t limit);

    void add(monotonic_time now, const gate_event &event, const std::vector<gate_action> &actions);
    /// The trace in the format of replayGateTrace().
    std::string text() const;

private:
    std::uint32_t m_slots;
    std::size_t m_limit;
    std::optional<monotonic_time> m_start;
    std::vector<gate_trace_step> m_steps;
};

} // namespace daisystile
