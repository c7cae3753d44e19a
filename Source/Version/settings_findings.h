#pragma once

#include "config_error.h"

#include <set>
#include <string>

namespace daisystile {

/// Logs what is found in a settings file that is read again and again: each finding once, until a reading is without it.
class settings_findings
{
public:
    void report(const config_errors &findings);

private:
    std::set<std::string> m_reported;
};

} // namespace daisystile
