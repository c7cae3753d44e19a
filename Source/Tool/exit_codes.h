#pragma once

namespace daisystile {

/// Exit codes of the tool.
enum exit_code {
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    /// The text is invalid or the change was rejected; nothing was changed.
    exit_rejected = 3,
    /// A concurrent change was accepted first; nothing was changed.
    exit_conflict = 4,
    /// The change may have been accepted; resend it with the same change id.
    exit_unknown = 5,
    exit_unreachable = 6,
    /// The change would interrupt service; --force applies it anyway.
    exit_needs_force = 7,
    /// Accepted, but not in force on all daemons when the wait timed out.
    exit_not_in_force = 8,
    exit_not_found = 9,
    exit_unauthorized = 10,
};

} // namespace daisystile
