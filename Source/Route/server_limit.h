#pragma once

#include <Process/process.h>

#include <cstddef>
#include <optional>

namespace daisystile {

/// A daemon's position among those that may send requests to a backend server.
struct sender_position
{
    /// Rank among the candidates, from 0, the same on every daemon that knows the same fleet; nothing for a daemon that is no
    /// candidate.
    std::optional<std::size_t> rank = 0;
    /// The daemons of which some send the requests while the server limits them: those of its failure domain.
    std::size_t candidates = 1;
    std::size_t allDaemons = 1;

    bool operator==(const sender_position &) const = default;
};

/// Keeps a daemon's part of the limit on requests per second that a backend server states for all daemons together. The
/// daemons don't talk about it: the limit decides how many of the candidates send, the ranks decide which, and each of these
/// keeps an equal share. Every other daemon sends single requests, rarely, to notice when the limit ends. Does no I/O.
class server_limit
{
public:
    void setPosition(const sender_position &position);
    /// The latest answer's limit, in requests per second; nothing if the answer states none.
    void stated(std::optional<double> perSecond, monotonic_time now, double draw);
    /// A request was sent. The draw, a random number from 0 to 1, spreads the daemons that send rarely.
    void sent(monotonic_time now, double draw);

    bool limited() const;
    /// Requests per second; 0 if there is no limit.
    double perSecond() const;
    /// Requests per second that this daemon sends; 0 if it sends rarely, or if there is no limit.
    double ownShare() const;
    bool allows(monotonic_time now) const;
    /// Time from which a request may be sent, apart from other reasons against it.
    monotonic_time availableFrom(monotonic_time now) const;

private:
    bool sends() const;
    /// Requests per second that this daemon may send.
    double share() const;
    double burst() const;
    double allowanceAt(monotonic_time now) const;
    milliseconds rareInterval(double draw) const;

    sender_position m_position;
    std::optional<double> m_limit;
    // As of m_updated.
    double m_allowance = 0;
    monotonic_time m_updated;
    monotonic_time m_rareAt;
};

} // namespace daisystile
