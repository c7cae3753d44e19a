#pragma once

#include "config_node.h"

#include <optional>

namespace daisystile {

/// Forms of values in settings files, which templates and other programs write: a value may come as the text of it.

/// Returns true for a value that says that there is none: an empty text, "null", or an address without a port or a host.
bool saysNothing(const config_node &node);

/// A number, or a text that holds one; infinite if it is too large for any type.
std::optional<double> numberOf(const config_node &node);

/// True or false, or such a text in any case.
std::optional<bool> truthOf(const config_node &node);

} // namespace daisystile
