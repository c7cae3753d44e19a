#pragma once

#include "quota_bucket.h"

#include <optional>

namespace daisystile {

/// Tokens of one account that a daemon holds, so that a request needn't wait for a message. Each request that runs uses one.
class quota_wallet
{
public:
    /// Uses a token if there is one.
    bool take(monotonic_time now);
    /// A request arrived, whether or not there was a token.
    void arrived(monotonic_time now);

    /// The question for this many requests that wait for a token; nothing if there is no need to ask.
    std::optional<quota_question> ask(unsigned waiting, monotonic_time now);
    /// Further tokens, and until when all may be used.
    void granted(unsigned tokens, monotonic_time expiry, monotonic_time now);
    /// Requests that waited have taken as many; the keeper counts the others that they waited for as used.
    void served(unsigned requests);
    /// The answer to the question was lost.
    void unanswered();
    /// The keeper has changed; its tokens count no more.
    void clear();
    /// Returns tokens that aren't needed any more.
    unsigned surplus(monotonic_time now);

    unsigned tokens(monotonic_time now) const;
    bool idle(monotonic_time now) const;

private:
    unsigned target(monotonic_time now) const;

    unsigned m_tokens = 0;
    unsigned m_arrived = 0;
    monotonic_time m_expiry;
    bool m_asking = false;
    // Requests that waited when the keeper was asked, and the tokens that were granted for them.
    unsigned m_waiting = 0;
    unsigned m_forWaiting = 0;
    double m_rate = 0;
    monotonic_time m_rateAt;
};

} // namespace daisystile
