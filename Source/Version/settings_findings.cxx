#include "settings_findings.h"

#include <Process/process.h>

#include <algorithm>

namespace daisystile {

namespace {

std::string fields(const config_error &finding)
{
    std::string text = field("file", finding.file) + field("line", finding.line);
    if (!finding.key.empty()) {
        text += field("key", finding.key);
    }
    text += field("found", finding.found);
    if (!finding.used.empty()) {
        text += field("used", finding.used);
    }
    return text + field("expected", finding.expected);
}

void logFinding(const config_error &finding)
{
    switch (finding.severity) {
    case config_severity::mistake:
        DAISYSTILE_LOG(ERROR, "daemon") << "Settings file is invalid; the previous settings stay in effect." << fields(finding);
        break;
    case config_severity::within_bounds:
        DAISYSTILE_LOG(WARNING, "daemon") << "Setting is taken within bounds." << fields(finding);
        break;
    case config_severity::absent:
        DAISYSTILE_LOG(WARNING, "daemon") << "Setting is missing." << fields(finding);
        break;
    }
}

} // namespace

void settings_findings::report(const config_errors &findings)
{
    const auto isMistake = [](const config_error &finding) {
        return finding.severity == config_severity::mistake;
    };
    // After a mistake nothing of the text is used.
    const bool invalid = std::any_of(findings.all.begin(), findings.all.end(), isMistake);
    std::set<std::string> found;
    for (const auto &finding : findings.all) {
        const auto text = toString({{finding}});
        if ((!invalid || isMistake(finding)) && found.insert(text).second && !m_reported.contains(text)) {
            logFinding(finding);
        }
    }
    m_reported = std::move(found);
}

} // namespace daisystile
