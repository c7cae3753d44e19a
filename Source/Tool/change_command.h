#pragma once

#include "command.h"

#include <functional>

namespace daisystile {

/// One change on its way through a daemon, sent again with the same change id while its outcome is unknown.
struct change_call
{
    std::string method;
    std::string path;
    std::string body;
    std::vector<http_header> headers;
    /// Chosen by the operator, or empty for a new one.
    std::string change;
    std::string fileName;
    bool wait = false;
};

/// Sends, prints the outcome and, when asked to, waits until it is in force everywhere.
int carryOutChange(const tool_settings &settings, change_call call);

} // namespace daisystile
