#pragma once

#include "claim_journal.h"

#include <array>
#include <functional>
#include <unordered_map>

namespace daisystile {

/// Returns the journal that holds the key.
std::uint32_t journalPartitionOf(const claim_key &key);
/// Returns the daemon that owns the journal by rendezvous hashing; null if no member is eligible.
const member *journalOwner(std::uint32_t partition, const std::vector<member> &members);

/// Runs the journals that this daemon owns: performs the actions of claim_journal on the platform.
class journal_manager
{
public:
    using answer_callback = std::function<void(answer_waiter)>;
    using run_callback = std::function<void(const start_run &)>;

    journal_manager(reactor &loop, platform_client &platform, const peer_identity &self, run_callback run);
    ~journal_manager();
    journal_manager(const journal_manager &) = delete;
    journal_manager &operator=(const journal_manager &) = delete;

    void setView(std::shared_ptr<const fleet_view> view);
    /// Calls back exactly once, by the deadline. The waiter id in the request is ignored.
    void submit(execute_requested ask, answer_callback callback);
    void reportRun(const run_reported &report);
    /// Rejects new claims and releases the journals.
    void releaseJournals();
    bool idle() const;

private:
    struct journal_state
    {
        std::unique_ptr<claim_journal> journal;
        /// Whether the view selects this daemon as the owner, and since when.
        bool selected = false;
        monotonic_time selectedSince {};
        bool owned = false;
        timer_id wakeTimer = 0;
    };

    struct action_performer;

    void decide(std::uint32_t partition, const journal_event &event);
    void perform(std::uint32_t partition, journal_action action);
    void scheduleWakeup(std::uint32_t partition);
    void updateOwnership();
    std::function<void(const journal_event &)> eventHandler(std::uint32_t partition);

    reactor &m_loop;
    platform_client &m_platform;
    peer_identity m_self;
    run_callback m_run;
    std::shared_ptr<const fleet_view> m_view = std::make_shared<const fleet_view>();
    std::array<journal_state, journalPartitionCount> m_journals;
    std::unordered_map<waiter_id, answer_callback> m_waiters;
    waiter_id m_nextWaiter = 1;
    bool m_leaving = false;
    timer_id m_settleTimer = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace daisystile
