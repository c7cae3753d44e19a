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

    /// Returns whether the token is used if one was granted; it isn't if the client has left.
    using token_callback = std::function<bool(const quota_outcome &)>;

    /// Calls back once: before returning if a token is there, or within the wait.
    void take(const account_name &account, milliseconds wait, token_callback done);

private:
    struct waiting_request
    {
        monotonic_time until;
        token_callback done;
    };

    struct account_state
    {
        quota_wallet wallet;
        std::deque<waiting_request> waiting;
        // When the keeper has said that there will be tokens, if it has refused some.
        monotonic_time refusedUntil;
        monotonic_time nextAsk;
    };

    struct keeper_failure
    {
        milliseconds pause {0};
        monotonic_time until;
    };

    void stateKeeping();
    bool failing(const daemon_id &id, monotonic_time now) const;
    void noteFailure(const daemon_id &id, monotonic_time now);
    void chooseKeeper();
    void useKeeper(const daemon_id &id, std::unique_ptr<peer_link> link);
    std::unique_ptr<peer_link> connect(const fleet_daemon &keeper, std::uint64_t number);
    void retire(std::unique_ptr<peer_link> link);
    void established(std::uint64_t number);
    void linkFailed(std::uint64_t number);
    void keeperFailed(const char *reason);
    void keeperLeaves();
    void probeFirst(monotonic_time now);
    void endProbe(bool holdsClaims);
    std::optional<quota_outcome> refusalNow(const account_state &state, milliseconds wait, monotonic_time now) const;
    void received(std::uint64_t number, std::string_view frame);
    void askAll();
    void send(tokens_question question);
    void handle(const tokens_answer &answer);
    void noteLease(bool holdsClaims, monotonic_time now);
    static void noteRefusal(account_state &state, bool holdsClaims, milliseconds retryAfter, monotonic_time now);
    static void serveWaiting(account_state &state, monotonic_time now);
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
    // Keepers that failed, and until when they aren't tried again.
    std::map<daemon_id, keeper_failure> m_failures;
    unsigned m_failuresInRow = 0;
    std::optional<daemon_id> m_keeper;
    monotonic_time m_keeperSince;
    std::optional<monotonic_time> m_withoutLeaseSince;
    // None to this daemon itself.
    std::unique_ptr<peer_link> m_link;
    std::uint64_t m_linkNumber = 0;
    // A connection to the first daemon while another one is used.
    std::unique_ptr<peer_link> m_probe;
    std::uint64_t m_probeNumber = 0;
    daemon_id m_probed;
    monotonic_time m_probeSince;
    std::uint64_t m_lastLink = 0;
    bool m_isKeeping = false;
    // Destroyed on the next tick, because they may be closed from within their own callbacks.
    std::vector<std::unique_ptr<peer_link>> m_retired;
    std::map<account_name, account_state> m_accounts;
    std::optional<monotonic_time> m_askedAt;
    bool m_askScheduled = false;
    bool m_ticking = false;
    bool m_needed = false;
};

} // namespace daisystile
