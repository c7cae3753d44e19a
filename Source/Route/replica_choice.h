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
    /// Attempts that this daemon may run there at a time; 0 bars the server.
    unsigned most = 0;
    /// Requests the server runs at a time, for all callers.
    unsigned slots = 1;
    bool stalled = false;
    bool cold = false;
    double slowness = 1;
    double failures = 0;
    /// A connection stands ready.
    bool connected = false;
};

/// Weights of the choice, as delays that each circumstance is worth.
struct choice_weights
{
    milliseconds remote {30};
    milliseconds stalled {150};
    milliseconds failure {120};
    milliseconds cold {20};
    milliseconds connect {6};
};

/// The expected delay of an attempt of usual pace on a candidate.
microseconds expectedDelay(const replica_view &candidate, microseconds pace, const choice_weights &weights);

/// The candidate with the least expected delay that can take an attempt now. The draw, 0 to 1, breaks near ties, so
/// that daemons that see the same don't all choose the same server.
std::optional<std::size_t> chooseReplica(const std::vector<replica_view> &candidates, microseconds pace, const choice_weights &weights, double draw);

/// What decides how many connections a daemon may hold to a backend server that accepts so many from all daemons.
struct connection_share_inputs
{
    unsigned accepted = 1;
    bool local = false;
    /// Daemons in the server's failure domain, and all.
    unsigned domainDaemons = 1;
    unsigned allDaemons = 1;
};

struct connection_share
{
    /// Open at a time.
    unsigned most = 1;
    /// Idle ones are closed after this time, if the server keeps them so long.
    milliseconds idle {0};

    bool operator==(const connection_share &) const = default;
};

/// Where each daemon can hold connections of its own, the sum stays below what the server accepts. Where it can't,
/// connections are opened on demand and closed soon, so that those open at a time stay below it.
connection_share connectionShare(const connection_share_inputs &terms);

} // namespace daisystile
