#pragma once

#include "delegation_messages.h"
#include "entry_settings.h"
#include "quota_keeper.h"
#include "routing_snapshot.h"

#include <Connection/connection.h>
#include <Route/route.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace daisystile {

enum class quota_decision {
    granted,
    /// The quota is used up.
    exceeded,
    /// No keeper could tell in time.
    unknown,
};

/// Decision on one request, and when to return after another than `granted`.
struct quota_outcome
{
    quota_decision decision = quota_decision::granted;
    milliseconds retryAfter {0};
};

/// Takes a token of its client account's quota for each request. Holds tokens of accounts that were in use lately, so that most
/// requests wait for no message; gets them from the keeper of the failure domain, which may be this daemon. Used on the traffic
/// thread only.
class quota_client
{
public:
    quota_client(reactor &loop, const entry_settings &settings, quota_keeper &own);
    ~quota_client();
    quota_client(const quota_client &) = delete;
    quota_client &operator=(const quota_client &) = delete;

    void update(const routing_snapshot &view);
    /// Called when this daemon becomes the keeper of its failure domain or is none any more.
    void onKeeping(std::function<void(bool)> callback);

    /// Calls back once: before returning if a token is there, or within the wait.
    void take(const account_name &account, milliseconds wait, std::function<void(quota_outcome)> done);

private:
    struct waiting_request
    {
        monotonic_time until;
        std::function<void(quota_outcome)> done;
    };

    struct account_state
    {
        quota_wallet wallet;
        std::deque<waiting_request> waiting;
        // Retry time of the keeper's last refusal.
        milliseconds retryAfter {0};
        bool refused = false;
    };

    void chooseKeeper();
    void connect(const fleet_daemon &keeper);
    void keeperFailed();
    void received(std::string_view frame);
    void askAll();
    void send(tokens_question question);
    void handle(const tokens_answer &answer);
    void serveWaiting(account_state &state, monotonic_time now);
    void expireWaiting(account_state &state, monotonic_time now);
    void tick();

    reactor &m_loop;
    fleet_daemon m_self;
    peer_credentials m_credentials;
    quota_keeper &m_own;
    std::function<void(bool)> m_keeping = [](bool) {
    };
    // Daemons of the failure domain that could be its keeper, the first one preferred.
    std::vector<fleet_daemon> m_candidates;
    std::map<daemon_id, monotonic_time> m_failedUntil;
    std::optional<daemon_id> m_keeper;
    std::unique_ptr<peer_link> m_link;
    // Destroyed on the next tick, because they may be closed from within their own callbacks.
    std::vector<std::unique_ptr<peer_link>> m_retired;
    std::map<account_name, account_state> m_accounts;
    std::optional<monotonic_time> m_askedAt;
    bool m_askScheduled = false;
    bool m_ticking = false;
    bool m_needed = false;
};

} // namespace daisystile
