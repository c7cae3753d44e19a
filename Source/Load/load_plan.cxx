#include "load_plan.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace daisystile {

using nlohmann::json;

namespace {

// Reads the fields of a JSON object and collects every error, including unknown fields.
class field_reader
{
public:
    field_reader(const json &object, std::string path, std::vector<std::string> &errors)
        : m_object(object),
          m_path(std::move(path)),
          m_errors(errors)
    {
        if (!object.is_object()) {
            m_errors.push_back(m_path + ": expected an object");
        }
    }

    template<class T> void read(const char *name, T &target)
    {
        m_knownFields.emplace_back(name);
        if (!m_object.is_object() || !m_object.contains(name)) {
            return;
        }
        parseValue(m_object.at(name), pathOf(name), target);
    }

    template<class T> void readRequired(const char *name, T &target)
    {
        if (m_object.is_object() && !m_object.contains(name)) {
            m_errors.push_back(pathOf(name) + ": missing");
        }
        read(name, target);
    }

    template<class T, class Parse> void readList(const char *name, std::vector<T> &target, Parse parse)
    {
        m_knownFields.emplace_back(name);
        if (!m_object.is_object() || !m_object.contains(name)) {
            return;
        }
        const auto &list = m_object.at(name);
        if (!list.is_array()) {
            m_errors.push_back(pathOf(name) + ": expected a list");
            return;
        }
        for (std::size_t i = 0; i < list.size(); ++i) {
            target.push_back(parse(list[i], pathOf(name) + "[" + std::to_string(i) + "]"));
        }
    }

    void rejectUnknownFields()
    {
        if (!m_object.is_object()) {
            return;
        }
        for (const auto &[name, value] : m_object.items()) {
            if (std::find(m_knownFields.begin(), m_knownFields.end(), name) == m_knownFields.end()) {
                m_errors.push_back(pathOf(name) + ": unknown field");
            }
        }
    }

    void parseValue(const json &value, const std::string &path, std::string &target)
    {
        if (value.is_string()) {
            target = value.get<std::string>();
        } else {
            m_errors.push_back(path + ": expected a string");
        }
    }

    void parseValue(const json &value, const std::string &path, double &target)
    {
        if (value.is_number() && value.get<double>() >= 0) {
            target = value.get<double>();
        } else {
            m_errors.push_back(path + ": expected a non-negative number");
        }
    }

    void parseValue(const json &value, const std::string &path, bool &target)
    {
        if (value.is_boolean()) {
            target = value.get<bool>();
        } else {
            m_errors.push_back(path + ": expected true or false");
        }
    }

    template<std::integral T> void parseValue(const json &value, const std::string &path, T &target)
    {
        if (value.is_number_unsigned()) {
            target = value.get<T>();
        } else {
            m_errors.push_back(path + ": expected a non-negative integer");
        }
    }

    void parseValue(const json &value, const std::string &path, microseconds &target)
    {
        double amount = 0;
        parseValue(value, path, amount);
        target = microseconds {std::llround(amount * 1e6)};
    }

    void parseValue(const json &value, const std::string &path, milliseconds &target)
    {
        microseconds exact {0};
        parseValue(value, path, exact);
        target = std::chrono::duration_cast<milliseconds>(exact);
    }

    void parseValue(const json &value, const std::string &path, ip_address &target)
    {
        const auto address = parseIpAddress(value.is_string() ? value.get<std::string>() : "");
        if (address) {
            target = *address;
        } else {
            m_errors.push_back(path + ": expected \"IP:PORT\"");
        }
    }

    template<class Tag> void parseValue(const json &value, const std::string &path, strong_value<Tag, std::string> &target)
    {
        parseValue(value, path, target.value);
    }

    void parseValue(const json &value, const std::string &path, request_kind &target)
    {
        if (value == "query" || value == "execute") {
            target = value == "query" ? request_kind::query : request_kind::execute;
        } else {
            m_errors.push_back(path + ": expected \"query\" or \"execute\"");
        }
    }

private:
    std::string pathOf(const std::string &name) const
    {
        return m_path.empty() ? name : m_path + "." + name;
    }

    const json &m_object;
    std::string m_path;
    std::vector<std::string> &m_errors;
    std::vector<std::string> m_knownFields;
};

load_stream parseStream(const json &object, const std::string &path, const load_plan &plan, std::vector<std::string> &errors)
{
    load_stream stream;
    stream.to = plan.duration;
    field_reader reader(object, path, errors);
    reader.readRequired("name", stream.name);
    reader.readRequired("token", stream.token);
    reader.readRequired("service", stream.service);
    reader.read("kind", stream.kind);
    reader.readRequired("rate", stream.ratePerSecond);
    reader.readRequired("body", stream.body);
    reader.read("distinct", stream.distinct);
    reader.read("resend_share", stream.resendShare);
    reader.read("from", stream.from);
    reader.read("to", stream.to);
    reader.read("timeout", stream.timeout);
    reader.read("check_results", stream.checkResults);
    reader.readList("targets", stream.targets, [&](const json &value, const std::string &elementPath) {
        std::size_t position = 0;
        reader.parseValue(value, elementPath, position);
        if (position >= plan.targets.size()) {
            errors.push_back(elementPath + ": no target with this index");
        }
        return position;
    });
    reader.rejectUnknownFields();
    if (stream.resendShare > 1) {
        errors.push_back(path + ".resend_share: expected a share from 0 to 1");
    }
    return stream;
}

control_step parseStep(const json &object, const std::string &path, std::vector<std::string> &errors)
{
    control_step step;
    field_reader reader(object, path, errors);
    reader.readRequired("at", step.at);
    reader.read("method", step.method);
    reader.readRequired("address", step.address);
    reader.readRequired("path", step.path);
    reader.read("body", step.body);
    reader.readList("headers", step.headers, [&](const json &value, const std::string &elementPath) {
        http_header header;
        field_reader fields(value, elementPath, errors);
        fields.readRequired("name", header.name);
        fields.readRequired("value", header.value);
        fields.rejectUnknownFields();
        return header;
    });
    reader.rejectUnknownFields();
    return step;
}

load_phase parsePhase(const json &object, const std::string &path, std::vector<std::string> &errors)
{
    load_phase phase;
    field_reader reader(object, path, errors);
    reader.readRequired("name", phase.name);
    reader.readRequired("from", phase.from);
    reader.readRequired("to", phase.to);
    reader.rejectUnknownFields();
    return phase;
}

load_plan parsePlan(const json &object, std::vector<std::string> &errors)
{
    load_plan plan;
    field_reader reader(object, "", errors);
    const auto parseAddress = [&](const json &value, const std::string &elementPath) {
        ip_address address;
        reader.parseValue(value, elementPath, address);
        return address;
    };
    reader.read("seed", plan.seed);
    reader.read("threads", plan.threads);
    reader.readRequired("duration", plan.duration);
    reader.read("interval", plan.interval);
    reader.read("connections_per_target", plan.connectionsPerTarget);
    reader.read("key_prefix", plan.keyPrefix);
    reader.readList("targets", plan.targets, parseAddress);
    reader.readList("records", plan.records, parseAddress);
    reader.readList("streams", plan.streams, [&](const json &value, const std::string &elementPath) { return parseStream(value, elementPath, plan, errors); });
    reader.readList("steps", plan.steps, [&](const json &value, const std::string &elementPath) { return parseStep(value, elementPath, errors); });
    reader.readList("phases", plan.phases, [&](const json &value, const std::string &elementPath) { return parsePhase(value, elementPath, errors); });
    reader.rejectUnknownFields();
    if (plan.targets.empty()) {
        errors.emplace_back("targets: expected at least one target");
    }
    if (plan.threads == 0) {
        errors.emplace_back("threads: expected at least one thread");
    }
    return plan;
}

} // namespace

leaf::result<load_plan> parseLoadPlan(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (object.is_discarded()) {
        return leaf::new_error(load_plan_error {{"plan: not valid JSON"}});
    }
    std::vector<std::string> errors;
    auto plan = parsePlan(object, errors);
    if (!errors.empty()) {
        return leaf::new_error(load_plan_error {std::move(errors)});
    }
    if (plan.phases.empty()) {
        plan.phases.push_back({"all", microseconds {0}, plan.duration});
    }
    return plan;
}

} // namespace daisystile
