#include "journal_manager.h"

#include <algorithm>

namespace daisystile {

// A daemon that has just started knows no other members; without this delay it would take journals from their owners.
static constexpr milliseconds ownershipSettleTime {1000};

std::uint32_t journalPartitionOf(const claim_key &key)
{
    const auto hash = stableHash(key.key.value, stableHash(key.service.value, stableHash(key.customer.value)));
    return static_cast<std::uint32_t>(hash % journalPartitionCount);
}

const member *journalOwner(std::uint32_t partition, const std::vector<member> &members)
{
    const member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &candidate : members) {
        if (candidate.state == member_state::leaving || candidate.state == member_state::dead) {
            continue;
        }
        const auto score = stableHash(candidate.id.value, partition + 1);
        if (best == nullptr || score > bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

static journal_time timeNow(const reactor &loop)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {loop.now(), std::chrono::duration_cast<seconds>(wall).count()};
}

struct journal_manager::action_performer
{
    journal_manager &self;
    std::uint32_t partition;

    void operator()(const list_segments &action) const
    {
        self.m_platform.list(action.prefix, read_freshness::newest, [decide = self.eventHandler(partition)](list_result result) {
            segments_listed listed;
            if (auto *list = std::get_if<object_list>(&result)) {
                listed.segments = std::move(list->objects);
                listed.era = list->revision.era;
            }
            decide(listed);
        });
    }

    void operator()(write_segment &action) const
    {
        self.m_platform.put(action.key, std::move(action.value), action.condition, [decide = self.eventHandler(partition)](write_result result) {
            decide(segment_written {std::move(result)});
        });
    }

    void operator()(const read_segment &action) const
    {
        self.m_platform.get(action.key, [decide = self.eventHandler(partition)](read_result result) { decide(segment_read {std::move(result)}); });
    }

    void operator()(const remove_segment &action) const
    {
        self.m_platform.remove(action.key, always {}, [](const remove_result &) {});
    }

    void operator()(const start_run &action) const
    {
        self.m_run(action);
    }

    void operator()(answer_waiter &action) const
    {
        auto waiter = self.m_waiters.extract(action.waiter);
        if (!waiter.empty()) {
            waiter.mapped()(std::move(action));
        }
    }
};

journal_manager::journal_manager(reactor &loop, platform_client &platform, const peer_identity &self, run_callback run)
    : m_loop(loop),
      m_platform(platform),
      m_self(self),
      m_run(std::move(run))
{
    for (std::uint32_t partition = 0; partition < journalPartitionCount; ++partition) {
        m_journals.at(partition).journal = std::make_unique<claim_journal>(partition, self.id, self.incarnationNumber);
    }
}

journal_manager::~journal_manager()
{
    *m_alive = false;
}

std::function<void(const journal_event &)> journal_manager::eventHandler(std::uint32_t partition)
{
    return [this, alive = m_alive, partition](const journal_event &event) {
        if (*alive) {
            decide(partition, event);
        }
    };
}

void journal_manager::decide(std::uint32_t partition, const journal_event &event)
{
    for (auto &action : m_journals.at(partition).journal->decide(event, timeNow(m_loop))) {
        std::visit(action_performer {*this, partition}, action);
    }
    scheduleWakeup(partition);
}

void journal_manager::scheduleWakeup(std::uint32_t partition)
{
    auto &entry = m_journals.at(partition);
    m_loop.cancelTimer(entry.wakeTimer);
    entry.wakeTimer = 0;
    if (const auto at = entry.journal->nextWakeup()) {
        // The reactor's timers have millisecond resolution; round up.
        const auto wait = timeLeft(m_loop.now(), *at) + milliseconds {1};
        entry.wakeTimer = m_loop.after(wait, [this, partition] { decide(partition, journal_timer_expired {}); });
    }
}

void journal_manager::setView(std::shared_ptr<const fleet_view> view)
{
    m_view = std::move(view);
    updateOwnership();
}

void journal_manager::updateOwnership()
{
    m_loop.cancelTimer(m_settleTimer);
    m_settleTimer = 0;
    const auto now = m_loop.now();
    for (std::uint32_t partition = 0; partition < journalPartitionCount; ++partition) {
        auto &entry = m_journals.at(partition);
        const auto *owner = journalOwner(partition, m_view->members);
        const bool selected = !m_leaving && m_view->ready && owner != nullptr && owner->id == m_self.id;
        if (selected && !entry.selected) {
            entry.selectedSince = now;
        }
        entry.selected = selected;
        if (!selected && entry.owned) {
            entry.owned = false;
            decide(partition, ownership_ended {});
        } else if (selected && !entry.owned && now >= entry.selectedSince + ownershipSettleTime) {
            entry.owned = true;
            DAISYSTILE_LOG(INFO, "journal") << "Taking ownership of the journal." << field("journal", partition);
            decide(partition, ownership_gained {});
        } else if (selected && !entry.owned && m_settleTimer == 0) {
            m_settleTimer = m_loop.after(ownershipSettleTime, [this] { updateOwnership(); });
        }
    }
}

void journal_manager::submit(execute_requested ask, answer_callback callback)
{
    const auto partition = journalPartitionOf(ask.key);
    ask.waiter = m_nextWaiter++;
    m_waiters.emplace(ask.waiter, std::move(callback));
    decide(partition, ask);
}

void journal_manager::reportRun(const run_reported &report)
{
    decide(journalPartitionOf(report.key), report);
}

void journal_manager::releaseJournals()
{
    m_leaving = true;
    updateOwnership();
}

bool journal_manager::idle() const
{
    return std::all_of(m_journals.begin(), m_journals.end(), [](const journal_state &entry) { return entry.journal->idle(); });
}

} // namespace daisystile
