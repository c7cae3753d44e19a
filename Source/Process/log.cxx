#include "log.h"

namespace daisystile {

void startLogging(const char *program, std::string_view level)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = level == "error" ? google::GLOG_ERROR : level == "warning" ? google::GLOG_WARNING : google::GLOG_INFO;
    google::InitGoogleLogging(program);
    // A crash leaves its stack in the log.
    google::InstallFailureSignalHandler();
}

std::string field(std::string_view key, std::string_view value)
{
    std::string text = " ";
    text += key;
    text += '=';
    const bool quoted = value.empty() || value.find_first_of(" \t\n\"") != std::string_view::npos;
    if (!quoted) {
        return text.append(value);
    }
    text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text += '"';
}

std::string field(std::string_view key, std::uint64_t value)
{
    return field(key, std::to_string(value));
}

} // namespace daisystile
