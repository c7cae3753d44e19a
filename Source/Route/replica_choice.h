#pragma once

#include <Process/process.h>

#include <optional>
#include <vector>

namespace daisystile {

/// One backend server as a candidate for an attempt.
struct replica_view
{
    /// In the daemon's own failure domain.
    bool local = false;
    /// Attempts of this daemon that run there.
    unsigned running = 0;
    /// Attempts that this daemon may run there at a time; 0 excludes the server.
    unsigned most = 0;
    /// Requests the server runs at a time, for all callers.
    unsigned slots = 1;
    bool stalled = false;
    bool cold = false;
    double slowness = 1;
    double failures = 0;
    /// An idle connection is open.
    bool connected = false;
};

/// Delay that each condition adds to a candidate's expected delay.
struct choice_weights
{
    milliseconds remote {30};
    milliseconds stalled {150};
    milliseconds failure {120};
    milliseconds cold {20};
    milliseconds connect {6};
};

/// The expected delay of an attempt on a candidate, for requests of this typical latency.
microseconds expectedDelay(const replica_view &candidate, microseconds typicalLatency, const choice_weights &weights);

/// The candidate with the lowest expected delay that can take an attempt now. The draw, a random number from 0 to 1,
/// breaks near ties, so that daemons with the same information don't all choose the same server.
std::optional<std::size_t> chooseReplica(const std::vector<replica_view> &candidates, microseconds typicalLatency, const choice_weights &weights, double draw);

/// Input of connectionShare().
struct connection_share_inputs
{
    /// Connections that the backend server accepts from all daemons together.
    unsigned accepted = 1;
    bool local = false;
    /// Number of daemons in the server's failure domain, and in the fleet.
    unsigned domainDaemons = 1;
    unsigned allDaemons = 1;
};

struct connection_share
{
    /// Maximum number of open connections.
    unsigned most = 1;
    /// Idle connections are closed after this time, or earlier if the server's keep-alive time is shorter.
    milliseconds idle {0};

    bool operator==(const connection_share &) const = default;
};

/// How many connections a daemon may hold to a backend server. If the server accepts enough for every daemon to hold its
/// own, their sum stays below its limit. Otherwise connections are opened on demand and closed after a short idle time,
/// so that the number open at a time stays below the limit.
connection_share connectionShare(const connection_share_inputs &terms);

} // namespace daisystile
