#include "config_error.h"

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
    return stream << "expected " << error.expected << ", found " << error.found;
}

std::string toString(const config_errors &errors)
{
    std::ostringstream stream;
    for (const auto &error : errors.all) {
        stream << error << "\n";
    }
    return std::move(stream).str();
}

} // namespace daisystile
