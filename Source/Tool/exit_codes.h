#pragma once

namespace daisystile {

/// What the tool's exit status says.
enum exit_code {
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    /// The text has mistakes, or the change was refused; nothing was changed.
    exit_rejected = 3,
    /// Another change came first; nothing was changed.
    exit_conflict = 4,
    /// The change may have been accepted; send it again with the same change id.
    exit_unknown = 5,
    exit_unreachable = 6,
    /// The change would lose service; --force takes it nevertheless.
    exit_needs_force = 7,
    /// Accepted, but not in force everywhere when the time to wait was over.
    exit_not_everywhere = 8,
    exit_not_found = 9,
    exit_token_refused = 10,
};

} // namespace daisystile
