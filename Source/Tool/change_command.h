#pragma once

#include "command.h"

#include <functional>

namespace daisystile {

/// A configuration change; it is resent with the same change id while its outcome is unknown.
struct change_call
{
    std::string method;
    std::string path;
    std::string body;
    std::vector<http_header> headers;
    /// Change id given by the operator; empty to generate one.
    std::string changeId;
    std::string fileName;
    bool wait = false;
};

/// Sends the change, prints its outcome and, if requested, waits until it is in force on all daemons. Returns an exit code.
int submitChange(const tool_settings &settings, change_call call);

} // namespace daisystile
