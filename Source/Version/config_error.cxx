#include "config_error.h"

#include <algorithm>
#include <sstream>

namespace daisystile {

std::ostream &operator<<(std::ostream &stream, const config_error &error)
{
    stream << error.file;
    if (error.line > 0) {
        stream << ":" << error.line;
    }
    stream << ": ";
    if (!error.key.empty()) {
        stream << error.key << ": ";
    }
    stream << "expected " << error.expected << ", found " << error.found;
    return error.used.empty() ? stream : stream << ", used " << error.used;
}

std::string toString(const config_errors &errors)
{
    std::ostringstream stream;
    for (const auto &error : errors.all) {
        stream << error << "\n";
    }
    return std::move(stream).str();
}

bool hasMistakes(const config_errors &findings)
{
    return std::any_of(findings.all.begin(), findings.all.end(), [](const auto &finding) { return finding.severity != config_severity::absent; });
}

config_errors asMistakes(config_errors findings)
{
    for (auto &finding : findings.all) {
        finding.severity = config_severity::mistake;
        finding.used.clear();
    }
    return findings;
}

} // namespace daisystile
