#include "config_builder.h"

namespace daisystile {

namespace {

template<class T> config_errors errorsOf(const parsed<T> &result)
{
    const auto *errors = std::get_if<config_errors>(&result);
    return errors == nullptr ? config_errors {} : *errors;
}

config_errors nameMismatch(std::string_view sourceName, const char *key, const std::string &expected, const std::string &found)
{
    return {{{std::string(sourceName), 0, key, "\"" + expected + "\"", "\"" + found + "\""}}};
}

config_errors checkContract(const std::string &name, const std::string &text, std::string_view sourceName)
{
    const auto result = parseContract(text, sourceName);
    const auto *parsedContract = std::get_if<contract>(&result);
    if (parsedContract != nullptr && parsedContract->customer.value != name) {
        return nameMismatch(sourceName, "customer", name, parsedContract->customer.value);
    }
    return errorsOf(result);
}

config_errors checkService(const std::string &name, const std::string &text, std::string_view sourceName)
{
    const auto result = parseService(text, sourceName);
    const auto *found = std::get_if<service>(&result);
    if (found != nullptr && found->name.value != name) {
        return nameMismatch(sourceName, "name", name, found->name.value);
    }
    return errorsOf(result);
}

// If the text can't be parsed, the previous contract stays in place.
void addContract(const config_record &record, const configuration &previous, configuration &target)
{
    const customer_id id {record.object.name};
    const auto previousEntry = previous.contracts.find(id);
    if (previousEntry != previous.contracts.end()) {
        target.contracts[id] = previousEntry->second;
        if (previousEntry->second->version == record.version) {
            return;
        }
    }
    auto result = parseContract(record.text, record.object.name);
    if (auto *parsedContract = std::get_if<contract>(&result)) {
        parsedContract->version = record.version;
        target.contracts[id] = std::make_shared<const contract>(std::move(*parsedContract));
    }
}

// If the text can't be parsed, the previous service stays in place.
void addService(const config_record &record, const configuration &previous, configuration &target)
{
    const service_name name {record.object.name};
    const auto previousEntry = previous.services.find(name);
    if (previousEntry != previous.services.end()) {
        target.services[name] = previousEntry->second;
        if (previousEntry->second->version == record.version) {
            return;
        }
    }
    auto result = parseService(record.text, record.object.name);
    if (auto *found = std::get_if<service>(&result)) {
        found->version = record.version;
        target.services[name] = std::make_shared<const service>(std::move(*found));
    }
}

// If the text can't be parsed, the previous failure domains stay in place.
void addDomains(const config_record &record, const configuration &previous, configuration &target)
{
    target.domains = previous.domains;
    target.domainsVersion = previous.domainsVersion;
    auto result = parseFailureDomains(record.text, record.object.name);
    auto *domains = std::get_if<std::vector<failure_domain>>(&result);
    if (domains == nullptr) {
        return;
    }
    target.domains.clear();
    for (auto &domain : *domains) {
        const auto name = domain.name;
        target.domains[name] = std::move(domain);
    }
    target.domainsVersion = record.version;
}

} // namespace

config_errors checkRecordText(const config_object &object, const std::string &text, std::string_view sourceName)
{
    switch (object.kind) {
    case config_kind::contract:
        return checkContract(object.name, text, sourceName);
    case config_kind::service:
        return checkService(object.name, text, sourceName);
    case config_kind::domains:
        return errorsOf(parseFailureDomains(text, sourceName));
    }
    return {};
}

config_errors checkReferences(const config_object &object, const std::string &text, std::string_view sourceName, const configuration &config)
{
    config_errors errors;
    if (object.kind == config_kind::contract) {
        const auto result = parseContract(text, sourceName);
        for (const auto &name : std::get<contract>(result).services) {
            if (config.services.count(name) == 0) {
                errors.all.push_back({std::string(sourceName), 0, "services", "services of the catalogue", "\"" + name.value + "\""});
            }
        }
    }
    return errors;
}

std::shared_ptr<const configuration> buildConfiguration(const config_records &records, const configuration &previous)
{
    auto result = std::make_shared<configuration>();
    for (const auto &[object, record] : records) {
        switch (object.kind) {
        case config_kind::contract:
            addContract(*record, previous, *result);
            break;
        case config_kind::service:
            addService(*record, previous, *result);
            break;
        case config_kind::domains:
            addDomains(*record, previous, *result);
            break;
        }
    }
    return result;
}

} // namespace daisystile
