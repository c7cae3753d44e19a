#include "config_error.h"

#include <sstream>

namespace daisystile {

std::ostream &operator<<(std::ostream &stream, const config_error &mistake)
{
    stream << mistake.file;
    if (mistake.line > 0) {
        stream << ":" << mistake.line;
    }
    stream << ": ";
    if (!mistake.key.empty()) {
        stream << mistake.key << ": ";
    }
    return stream << "expected " << mistake.expected << ", found " << mistake.found;
}

std::string toString(const config_errors &mistakes)
{
    std::ostringstream stream;
    for (const auto &mistake : mistakes.all) {
        stream << mistake << "\n";
    }
    return std::move(stream).str();
}

} // namespace daisystile
