#include "gate_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace daisystile {

static constexpr std::string_view headerWord = "slot_gate";
static constexpr std::string_view actionsMark = " => ";

// The replay must not start at the clock's epoch, which the gate uses as "never".
static constexpr seconds replayStart {1000000};

static microseconds sinceStart(monotonic_time time, monotonic_time start)
{
    return std::chrono::duration_cast<microseconds>(time - start);
}

static constexpr std::array<std::string_view, 3> rankNames {"interactive", "normal", "background"};
static constexpr std::array<std::string_view, 7> endNames {"good", "shed", "draining", "lost", "timed_out", "cancelled", "neutral"};
static constexpr std::array<std::string_view, 3> healthNames {"healthy", "draining", "unreachable"};

template<class Enum, std::size_t Count> static std::string nameOf(const std::array<std::string_view, Count> &names, Enum value)
{
    return std::string(names.at(static_cast<std::size_t>(value)));
}

namespace {

struct event_text
{
    std::string operator()(const request_arrived &event) const
    {
        const auto deadline = std::chrono::duration_cast<microseconds>(event.request.deadline.time_since_epoch()).count();
        return "request_arrived id=" + std::to_string(event.request.id) + " rank=" + nameOf(rankNames, event.request.rank)
            + " deadline_us=" + std::to_string(deadline);
    }
    std::string operator()(const request_withdrawn &event) const
    {
        return "request_withdrawn id=" + std::to_string(event.id);
    }
    std::string operator()(const request_ended &event) const
    {
        return "request_ended id=" + std::to_string(event.id) + " end=" + nameOf(endNames, event.end);
    }
    std::string operator()(const gate_opened &event) const
    {
        return "gate_opened allowed=" + std::to_string(event.allowed);
    }
    std::string operator()(const gate_closed &) const
    {
        return "gate_closed";
    }
    std::string operator()(const health_seen &event) const
    {
        return "health_seen state=" + nameOf(healthNames, event.state);
    }
    std::string operator()(const reference_seen &event) const
    {
        return "reference_seen latency_us=" + std::to_string(event.latency.count());
    }
    std::string operator()(const kept_connection_ended &event) const
    {
        return "kept_connection_ended unused_ms=" + std::to_string(event.unused.count());
    }
    std::string operator()(const gate_tick &) const
    {
        return "gate_tick";
    }
};

struct action_text
{
    std::string operator()(const run_request &action) const
    {
        return "run id=" + std::to_string(action.id);
    }
    std::string operator()(const refuse_request &action) const
    {
        return "refuse id=" + std::to_string(action.id) + " failure=" + toString(action.failure);
    }
};

// The fields of one step. A missing or malformed field makes the step invalid.
class step_fields
{
public:
    explicit step_fields(std::string_view text)
    {
        while (!text.empty()) {
            const auto word = text.substr(0, text.find(' '));
            text.remove_prefix(std::min(text.size(), word.size() + 1));
            const auto equals = word.find('=');
            if (equals != std::string_view::npos) {
                m_fields[word.substr(0, equals)] = word.substr(equals + 1);
            }
        }
    }

    std::uint64_t number(std::string_view name)
    {
        const auto text = m_fields[name];
        std::uint64_t value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        m_valid = m_valid && code == std::errc {} && end == text.data() + text.size();
        return value;
    }

    template<class Enum, std::size_t Count> Enum choice(std::string_view name, const std::array<std::string_view, Count> &names)
    {
        const auto found = std::find(names.begin(), names.end(), m_fields[name]);
        m_valid = m_valid && found != names.end();
        return found == names.end() ? Enum {} : static_cast<Enum>(found - names.begin());
    }

    bool valid() const
    {
        return m_valid;
    }

private:
    std::map<std::string_view, std::string_view> m_fields;
    bool m_valid = true;
};

} // namespace

std::string toText(const std::vector<gate_action> &actions)
{
    std::string text;
    for (const auto &action : actions) {
        text += text.empty() ? "" : "; ";
        text += std::visit(action_text {}, action);
    }
    return text;
}

std::string toText(const gate_trace_step &step)
{
    auto text = std::to_string(step.at.count()) + " " + std::visit(event_text {}, step.event);
    if (!step.actions.empty()) {
        text += actionsMark;
        text += toText(step.actions);
    }
    return text;
}

static std::optional<gate_event> parseEvent(std::string_view name, step_fields &fields, monotonic_time start)
{
    if (name == "request_arrived") {
        const waiting_request request {fields.number("id"), fields.choice<urgency>("rank", rankNames), start + microseconds {fields.number("deadline_us")}};
        return request_arrived {request};
    }
    if (name == "request_withdrawn") {
        return request_withdrawn {fields.number("id")};
    }
    if (name == "request_ended") {
        return request_ended {fields.number("id"), fields.choice<request_end>("end", endNames)};
    }
    if (name == "gate_opened") {
        return gate_opened {static_cast<std::uint16_t>(fields.number("allowed"))};
    }
    if (name == "gate_closed") {
        return gate_closed {};
    }
    if (name == "health_seen") {
        return health_seen {fields.choice<health_state>("state", healthNames)};
    }
    if (name == "reference_seen") {
        return reference_seen {microseconds {fields.number("latency_us")}};
    }
    if (name == "kept_connection_ended") {
        return kept_connection_ended {milliseconds {fields.number("unused_ms")}};
    }
    if (name == "gate_tick") {
        return gate_tick {};
    }
    return std::nullopt;
}

namespace {

struct parsed_step
{
    monotonic_time at;
    gate_event event;
    std::string_view actions;
};

} // namespace

static std::optional<parsed_step> parseStep(std::string_view line, monotonic_time start)
{
    const auto mark = line.find(actionsMark);
    const auto actions = mark == std::string_view::npos ? std::string_view() : line.substr(mark + actionsMark.size());
    const auto body = line.substr(0, mark);
    std::uint64_t at = 0;
    const auto [end, code] = std::from_chars(body.data(), body.data() + body.size(), at);
    const auto used = static_cast<std::size_t>(end - body.data());
    if (code != std::errc {} || used >= body.size() || body[used] != ' ') {
        return std::nullopt;
    }
    const auto rest = body.substr(used + 1);
    step_fields fields(rest);
    const auto event = parseEvent(rest.substr(0, rest.find(' ')), fields, start);
    if (!event || !fields.valid()) {
        return std::nullopt;
    }
    return parsed_step {start + microseconds {at}, *event, actions};
}

static std::optional<std::uint32_t> parseHeader(std::string_view line)
{
    step_fields fields(line);
    const auto slots = fields.number("slots");
    if (line.substr(0, line.find(' ')) != headerWord || !fields.valid() || slots == 0 || slots > UINT16_MAX) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(slots);
}

static std::string_view takeLine(std::string_view &text)
{
    const auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    return line;
}

std::variant<replayed_trace, trace_syntax_error> replayGateTrace(std::string_view text)
{
    const monotonic_time start(replayStart);
    const auto header = takeLine(text);
    const auto slots = parseHeader(header);
    if (!slots) {
        return trace_syntax_error {1, "slot_gate slots=NUMBER", std::string(header)};
    }
    slot_gate gate(gate_settings {.slots = *slots});
    replayed_trace result;
    for (std::size_t number = 2; !text.empty(); ++number) {
        const auto line = takeLine(text);
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const auto step = parseStep(line, start);
        if (!step) {
            return trace_syntax_error {number, "MICROSECONDS EVENT FIELD=VALUE ... [=> ACTIONS]", std::string(line)};
        }
        const auto found = toText(gate.decide(step->event, step->at));
        result.steps += 1;
        result.decisions += std::string(line.substr(0, line.find(actionsMark))) + (found.empty() ? "" : std::string(actionsMark)) + found + "\n";
        if (found != step->actions && !result.difference) {
            result.difference = trace_difference {number, std::string(step->actions), found};
        }
    }
    return result;
}

gate_recorder::gate_recorder(std::uint32_t slots, std::size_t limit)
    : m_slots(slots),
      m_limit(limit)
{
}

// Deadlines are also stored relative to the start, so that the trace does not depend on the host's clock.
static gate_event relativeTo(gate_event event, monotonic_time start)
{
    if (auto *arrived = std::get_if<request_arrived>(&event)) {
        arrived->request.deadline = monotonic_time(std::max(arrived->request.deadline, start) - start);
    }
    return event;
}

void gate_recorder::add(monotonic_time now, const gate_event &event, const std::vector<gate_action> &actions)
{
    if (m_steps.size() >= m_limit) {
        return;
    }
    if (!m_start) {
        m_start = now;
    }
    m_steps.push_back({sinceStart(now, *m_start), relativeTo(event, *m_start), actions});
}

std::string gate_recorder::text() const
{
    std::string text(headerWord);
    text += " slots=" + std::to_string(m_slots) + "\n";
    for (const auto &step : m_steps) {
        text += toText(step) + "\n";
    }
    return text;
}

} // namespace daisystile
