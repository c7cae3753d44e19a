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
    /// Tokens that may be used until the expiry.
    void granted(unsigned tokens, monotonic_time expiry);
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
    double m_rate = 0;
    monotonic_time m_rateAt;
    monotonic_time m_askedAt;
};

} // namespace daisystile
