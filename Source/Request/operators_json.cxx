#include "operators_json.h"

#include <nlohmann/json.hpp>

#include <set>

namespace daisystile {

namespace {

constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

http_response jsonResponse(int status, const nlohmann::json &json)
{
    return {.status = status, .body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

nlohmann::json toNode(const config_record &record)
{
    return {{"kind", toString(record.object.kind)},
        {"name", record.object.name},
        {"version", record.version.value},
        {"change_id", record.change.value},
        {"operator", record.changedBy},
        {"at", record.at},
        {"text", record.text}};
}

const char *toString(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

struct outcome_response
{
    http_response operator()(const change_accepted &outcome) const
    {
        return jsonResponse(200,
            {{"outcome", "accepted"},
                {"version", outcome.record.version.value},
                {"number", outcome.head.number},
                {"change_id", outcome.record.change.value},
                {"resent", outcome.resent}});
    }

    http_response operator()(const change_conflict &outcome) const
    {
        return jsonResponse(statusConflict,
            {{"outcome", "conflict"},
                {"why", "another change came first"},
                {"version", outcome.current.version.value},
                {"operator", outcome.current.changedBy},
                {"current", outcome.current.text},
                {"offered", outcome.offered}});
    }

    http_response operator()(const change_rejected &outcome) const
    {
        return operatorsProblem(statusUnavailable, "rejected", outcome.why);
    }

    http_response operator()(const change_unknown &outcome) const
    {
        return operatorsProblem(statusGatewayTimeout, "unknown", outcome.why);
    }
};

template<class Objects> nlohmann::json listOf(const Objects &objects)
{
    auto list = nlohmann::json::array();
    for (const auto &[name, object] : objects) {
        list.push_back({{"name", name.value}, {"version", object->version.value}});
    }
    return list;
}

} // namespace

http_response operatorsProblem(int status, const std::string &outcome, const std::string &why)
{
    auto response = jsonResponse(status, {{"title", why}, {"status", status}, {"outcome", outcome}, {"why", why}});
    response.contentType = "application/problem+json";
    return response;
}

http_response errorsResponse(const config_errors &errors)
{
    auto list = nlohmann::json::array();
    for (const auto &error : errors.all) {
        list.push_back({{"line", error.line}, {"key", error.key}, {"expected", error.expected}, {"found", error.found}});
    }
    return jsonResponse(statusUnprocessable,
        {{"title", "the text has mistakes"}, {"status", statusUnprocessable}, {"outcome", "rejected"}, {"why", "the text has mistakes"}, {"mistakes", list}});
}

http_response lossesResponse(const std::vector<std::string> &losses)
{
    return jsonResponse(statusConflict,
        {{"title", "the change would lose service"},
            {"status", statusConflict},
            {"outcome", "needs_force"},
            {"why", "the change would lose service"},
            {"losses", losses}});
}

http_response outcomeResponse(const change_outcome &outcome)
{
    return std::visit(outcome_response {}, outcome);
}

http_response recordResponse(const config_record &record)
{
    return jsonResponse(200, toNode(record));
}

http_response historyResponse(const std::vector<config_record> &records)
{
    auto list = nlohmann::json::array();
    for (const auto &record : records) {
        list.push_back(toNode(record));
    }
    return jsonResponse(200, list);
}

http_response objectListResponse(config_kind kind, const configuration &config)
{
    return jsonResponse(200, kind == config_kind::contract ? listOf(config.contracts) : listOf(config.services));
}

http_response domainsResponse(config_version version, const std::vector<failure_domain> &states)
{
    auto list = nlohmann::json::array();
    for (const auto &state : states) {
        list.push_back({{"name", state.name.value}, {"region", state.region.value}, {"out", state.out}});
    }
    return jsonResponse(200, {{"version", version.value}, {"domains", std::move(list)}});
}

http_response statusResponse(const operators_api_settings &self, std::uint64_t number, const fleet_view &view, const std::vector<member_config_number> &members)
{
    std::map<daemon_id, member_config_number> numbers;
    for (const auto &one : members) {
        numbers[one.id] = one;
    }
    auto daemons = nlohmann::json::array();
    for (const auto &one : view.members) {
        const auto known = numbers.find(one.id);
        const bool own = one.id == self.self;
        const bool answered = own || (known != numbers.end() && known->second.answered);
        const auto memberNumber = own ? number : (known == numbers.end() ? 0 : known->second.number);
        daemons.push_back({{"id", one.id.value},
            {"failure_domain", one.domain.value},
            {"state", toString(one.state)},
            {"traffic", toString(one.traffic)},
            {"answered", answered},
            {"number", memberNumber}});
    }
    auto domains = nlohmann::json::array();
    for (const auto &[name, state] : view.config->domains) {
        domains.push_back({{"name", name.value}, {"region", state.region.value}, {"out", state.out}});
    }
    return jsonResponse(200,
        {{"daemon", self.self.value},
            {"failure_domain", self.domain.value},
            {"ready", view.ready},
            {"number", number},
            {"contracts", listOf(view.config->contracts)},
            {"services", listOf(view.config->services)},
            {"domains", std::move(domains)},
            {"daemons", std::move(daemons)}});
}

} // namespace daisystile
