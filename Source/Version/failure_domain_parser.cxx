#include "failure_domain.h"

#include "table_reader.h"

#include <algorithm>

namespace daisystile {

namespace {

void readDomains(table_reader &reader, std::vector<failure_domain> &domains)
{
    reader.tables("domains", [&](table_reader &table) {
        failure_domain domain;
        table.name("name", domain.name.value);
        table.name("region", domain.region.value);
        table.boolean("out", domain.out);
        const auto same = [&](const failure_domain &other) {
            return other.name == domain.name;
        };
        if (std::any_of(domains.begin(), domains.end(), same)) {
            table.addError("name", "a name that no other failure domain has", "\"" + domain.name.value + "\" twice");
        }
        domains.push_back(std::move(domain));
    });
    if (domains.empty()) {
        reader.addError("domains", "at least one failure domain", "none");
    }
}

} // namespace

parsed<std::vector<failure_domain>> parseFailureDomains(std::string_view text, std::string_view fileName)
{
    return parseTable<std::vector<failure_domain>>(text, fileName, readDomains);
}

std::string toText(const std::vector<failure_domain> &domains)
{
    std::string text;
    for (const auto &domain : domains) {
        text += "[[domains]]\nname = \"" + domain.name.value + "\"\nregion = \"" + domain.region.value + "\"\nout = " + (domain.out ? "true" : "false") + "\n";
    }
    return text;
}

} // namespace daisystile
