#pragma once

#include "forward_metrics.h"
#include "routing_snapshot.h"
#include "running_request.h"

#include <functional>
#include <map>
#include <vector>

namespace daisystile {

/// Keeps requests under which backend servers end from ending more of them, and lets the others run. Used on the traffic
/// thread only.
class suspect_guard
{
public:
    /// A part of a request that waits for the end of a trial.
    struct held_part
    {
        request_number request = 0;
        part_index part = 0;
    };

    struct callbacks
    {
        /// The part may be tried again.
        std::function<void(const held_part &)> resume;
        /// What this daemon has to tell the others has changed.
        std::function<void(std::vector<suspect_record>)> share;
    };

    suspect_guard(reactor &loop, forward_metrics &counters, callbacks notify);

    run_permission permission(const request_digest &request, const service_name &service) const;
    /// Time until which the request is refused, because too many of its parts are quarantined; nothing if it may run.
    std::optional<milliseconds> refusal(const running_request &request) const;
    /// Whether any part of the request is suspected.
    bool suspected(const running_request &request) const;

    /// The part is passed to the resume callback when the trial of its request has ended.
    void hold(const request_digest &request, const held_part &part);
    void trialStarted(const request_digest &request, attempt_id attempt);
    /// Notes what the end of an attempt says about its request.
    void attemptEnded(const running_attempt &attempt, attempt_id id, const exchange_result &exchange);
    /// Resumes parts that wait, if there is no trial any more.
    void resume(const request_digest &request);

    /// Takes the records that daemons have shared.
    void learn(const std::vector<shared_suspects> &shared, const daemon_id &self);
    /// Requests in quarantine, with its remaining time.
    std::vector<std::pair<suspect_record, milliseconds>> quarantined() const;
    /// An operator ends the suspicion of a request. False if it isn't known.
    bool lift(const request_digest &request);

private:
    void serverEnded(const running_attempt &attempt);
    void changed();
    void expire();

    reactor &m_loop;
    forward_metrics &m_metrics;
    callbacks m_notify;
    crash_suspects m_suspects;
    std::map<request_digest, std::vector<held_part>> m_held;
    // Version of each daemon's records that was learned last.
    std::map<daemon_id, std::string> m_learned;
    std::vector<suspect_record> m_shared;
    bool m_expiring = false;
};

} // namespace daisystile
