#pragma once

namespace daisystile {

/// Lets a process that ends by a signal of its own fault or an uncaught exception first write the queued log lines and a last one that
/// names the reason; the stack still goes to standard error. Call it once, from startLogging().
void reportFailures();

} // namespace daisystile
