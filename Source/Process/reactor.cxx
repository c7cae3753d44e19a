#include "reactor.h"

#include "descriptors.h"
#include "log.h"
#include "poll_clock.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Reactor.h>
#include <ace/Timer_Heap_T.h>
#include <ace/Timer_Queue_Adapters.h>

#include <algorithm>
#include <atomic>
#include <fcntl.h>
#include <mutex>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisystile {

// Timers use the monotonic clock, so that changes of the system clock don't affect them.
using monotonic_timer_heap =
    ACE_Timer_Heap_T<ACE_Event_Handler *, ACE_Event_Handler_Handle_Timeout_Upcall, ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

// ACE truncates a timeout to whole milliseconds and would busy-wait for the remainder, so it is rounded up.
class monotonic_timer_queue : public monotonic_timer_heap
{
public:
    explicit monotonic_timer_queue(poll_clock &polls)
        : m_polls(polls)
    {
    }

    ACE_Time_Value *calculate_timeout(ACE_Time_Value *maxWait) override // NOLINT(readability-identifier-naming)
    {
        return roundedUp(monotonic_timer_heap::calculate_timeout(maxWait), maxWait);
    }

    ACE_Time_Value *calculate_timeout(ACE_Time_Value *maxWait, ACE_Time_Value *wait) override // NOLINT(readability-identifier-naming)
    {
        return roundedUp(monotonic_timer_heap::calculate_timeout(maxWait, wait), maxWait);
    }

private:
    // ACE calculates the timeout right before each poll.
    ACE_Time_Value *roundedUp(ACE_Time_Value *wait, const ACE_Time_Value *maxWait)
    {
        auto *rounded = round(wait, maxWait);
        const auto longest = rounded == nullptr ? monotonic_time::duration::max() : seconds {rounded->sec()} + microseconds {rounded->usec()};
        m_polls.polled(monotonicNow(), longest);
        return rounded;
    }

    ACE_Time_Value *round(ACE_Time_Value *wait, const ACE_Time_Value *maxWait)
    {
        if (wait == nullptr || wait == maxWait || *wait == ACE_Time_Value::zero) {
            return wait;
        }
        constexpr suseconds_t microsecondsPerMillisecond = 1000;
        const auto remainder = wait->usec() % microsecondsPerMillisecond;
        m_roundedWait = *wait;
        if (remainder != 0) {
            m_roundedWait += ACE_Time_Value(0, microsecondsPerMillisecond - remainder);
        }
        return &m_roundedWait;
    }

    poll_clock &m_polls;
    ACE_Time_Value m_roundedWait;
};

static ACE_Reactor_Mask maskOf(io_interest interest)
{
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (interest.read) {
        mask |= ACE_Event_Handler::READ_MASK;
    }
    if (interest.write) {
        mask |= ACE_Event_Handler::WRITE_MASK;
    }
    return mask;
}

namespace {

class watched_handle : public ACE_Event_Handler
{
public:
    watched_handle(ACE_Reactor *loop, poll_clock &polls, int handle)
        : ACE_Event_Handler(loop),
          m_polls(polls),
          m_handle(handle)
    {
    }

    ACE_HANDLE get_handle() const override
    {
        return m_handle;
    }

    int handle_input(ACE_HANDLE) override
    {
        return call();
    }

    int handle_output(ACE_HANDLE) override
    {
        return call();
    }

    std::function<void()> callback;
    io_interest interest;
    bool removed = false;

private:
    int call()
    {
        m_polls.handling(monotonicNow());
        if (!removed) {
            // The callback may replace itself while it runs.
            auto current = std::move(callback);
            callback = nullptr;
            current();
            if (!callback) {
                callback = std::move(current);
            }
        }
        return 0;
    }

    poll_clock &m_polls;
    int m_handle;
};

} // namespace

struct reactor::implementation : public ACE_Event_Handler
{
    // ACE allocates tables of this size and fails if it exceeds the process's limit on file descriptors.
    implementation()
        : timers(polls),
          poll(allowedDescriptors(), true, nullptr, &timers),
          loop(&poll, false),
          wakeHandle(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        if (!opened()) {
            DAISYSTILE_LOG(ERROR, "reactor") << "Event loop can't be initialized." << field("handles", allowedDescriptors());
            return;
        }
        reactor(&loop);
        loop.register_handler(wakeHandle, this, ACE_Event_Handler::READ_MASK);
    }

    bool opened()
    {
        return wakeHandle >= 0 && loop.initialized() != 0;
    }

    ~implementation() override
    {
        if (!opened()) {
            return;
        }
        for (const auto &[handle, watched] : handles) {
            unregister(handle);
        }
        loop.remove_handler(wakeHandle, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        loop.cancel_timer(this);
        // Close ACE's reactor while the handlers still registered with it exist.
        loop.close();
        close(wakeHandle);
    }

    // Objects owned by callbacks may use the event loop in their destructors, so they are destroyed before it.
    void destroyCallbacks()
    {
        const auto pendingTimers = std::exchange(timerCallbacks, {});
        const auto pendingCallbacks = std::exchange(posted, {});
    }

    ACE_HANDLE get_handle() const override
    {
        return wakeHandle;
    }

    int handle_input(ACE_HANDLE) override
    {
        polls.handling(monotonicNow());
        std::uint64_t count = 0;
        [[maybe_unused]] const auto bytes = read(wakeHandle, &count, sizeof count);
        runPosted();
        return 0;
    }

    int handle_timeout(const ACE_Time_Value &, const void *argument) override
    {
        polls.handling(monotonicNow());
        const auto id = reinterpret_cast<std::uintptr_t>(argument);
        auto found = timerCallbacks.find(id);
        if (found == timerCallbacks.end()) {
            return 0;
        }
        auto callback = std::move(found->second.callback);
        timerCallbacks.erase(found);
        callback();
        return 0;
    }

    // ACE removes a handler only after it has removed its descriptor from the epoll set, which fails if the descriptor was
    // closed before; then a temporary descriptor with the same number makes the removal succeed. A handler is suspended
    // within its own callback, and only resuming it adds the temporary descriptor to the epoll set.
    bool unregister(int handle)
    {
        constexpr ACE_Reactor_Mask all = ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL;
        if (loop.remove_handler(handle, all) == 0) {
            return true;
        }
        const int placeholder = fcntl(wakeHandle, F_DUPFD_CLOEXEC, handle);
        loop.resume_handler(handle);
        loop.mask_ops(handle, ACE_Event_Handler::READ_MASK, ACE_Reactor::SET_MASK);
        const bool unregistered = loop.remove_handler(handle, all) == 0 || loop.find_handler(handle) == nullptr;
        if (placeholder >= 0) {
            close(placeholder);
        }
        return unregistered;
    }

    void retire(int handle, std::unique_ptr<watched_handle> watched)
    {
        if (unregister(handle)) {
            retired.push_back(std::move(watched));
            return;
        }
        DAISYSTILE_LOG(ERROR, "reactor") << "Event handler of a closed file descriptor can't be removed."
                                         << field("handle", static_cast<std::uint64_t>(handle));
        stillRegistered[handle] = std::move(watched);
    }

    void runPosted()
    {
        std::vector<std::function<void()>> ready;
        {
            const std::lock_guard guard(postedMutex);
            ready.swap(posted);
        }
        for (auto &callback : ready) {
            callback();
        }
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto bytes = write(wakeHandle, &one, sizeof one);
    }

    struct pending_timer
    {
        long aceTimer;
        std::function<void()> callback;
    };

    poll_clock polls;
    monotonic_timer_queue timers;
    ACE_Dev_Poll_Reactor poll;
    ACE_Reactor loop;
    int wakeHandle;
    std::mutex postedMutex;
    std::vector<std::function<void()>> posted;
    std::unordered_map<int, std::unique_ptr<watched_handle>> handles;
    // Removed handlers, freed after the current iteration, since a handler may be removed within its own callback.
    std::vector<std::unique_ptr<watched_handle>> retired;
    // Handlers that could not be removed from ACE; removal is tried again when the same descriptor is watched again.
    std::unordered_map<int, std::unique_ptr<watched_handle>> stillRegistered;
    std::unordered_map<timer_id, pending_timer> timerCallbacks;
    timer_id nextTimer = 1;
    std::atomic<bool> stopping {false};
};

reactor::reactor()
    : m_implementation(std::make_unique<implementation>())
{
}

reactor::~reactor()
{
    m_implementation->destroyCallbacks();
}

bool reactor::opened() const
{
    return m_implementation->opened();
}

monotonic_time reactor::now() const
{
    return monotonicNow();
}

monotonic_time reactor::readySince() const
{
    return std::min(m_implementation->polls.readySince(), now());
}

timer_id reactor::after(milliseconds delay, std::function<void()> callback)
{
    auto &self = *m_implementation;
    const timer_id id = self.nextTimer++;
    const auto count = std::max<milliseconds::rep>(delay.count(), 0);
    const ACE_Time_Value wait(static_cast<time_t>(count / 1000), static_cast<suseconds_t>((count % 1000) * 1000));
    const long aceTimer = self.loop.schedule_timer(&self, reinterpret_cast<const void *>(static_cast<std::uintptr_t>(id)), wait);
    self.timerCallbacks.emplace(id, implementation::pending_timer {aceTimer, std::move(callback)});
    return id;
}

void reactor::cancelTimer(timer_id timer)
{
    auto &self = *m_implementation;
    const auto found = self.timerCallbacks.find(timer);
    if (found == self.timerCallbacks.end()) {
        return;
    }
    self.loop.cancel_timer(found->second.aceTimer);
    self.timerCallbacks.erase(found);
}

void reactor::watch(int handle, io_interest interest, std::function<void()> callback)
{
    auto &self = *m_implementation;
    auto &slot = self.handles[handle];
    if (slot) {
        slot->callback = std::move(callback);
        const auto before = slot->interest;
        if (before.read == interest.read && before.write == interest.write) {
            return;
        }
        slot->interest = interest;
        self.loop.mask_ops(handle, maskOf(interest), ACE_Reactor::SET_MASK);
        return;
    }
    if (auto old = self.stillRegistered.extract(handle)) {
        self.retire(handle, std::move(old.mapped()));
    }
    slot = std::make_unique<watched_handle>(&self.loop, self.polls, handle);
    slot->callback = std::move(callback);
    slot->interest = interest;
    if (self.loop.register_handler(slot.get(), maskOf(interest)) != 0) {
        DAISYSTILE_LOG(ERROR, "reactor") << "File descriptor can't be registered with the event loop." << field("handle", static_cast<std::uint64_t>(handle));
    }
}

void reactor::unwatch(int handle)
{
    auto &self = *m_implementation;
    const auto found = self.handles.find(handle);
    if (found == self.handles.end()) {
        return;
    }
    auto watched = std::move(found->second);
    self.handles.erase(found);
    watched->removed = true;
    self.retire(handle, std::move(watched));
}

void reactor::post(std::function<void()> callback)
{
    {
        const std::lock_guard guard(m_implementation->postedMutex);
        m_implementation->posted.push_back(std::move(callback));
    }
    m_implementation->wake();
}

void reactor::run()
{
    auto &self = *m_implementation;
    self.loop.owner(ACE_Thread::self());
    while (!self.stopping) {
        self.loop.handle_events();
        self.retired.clear();
    }
    self.stopping = false;
}

void reactor::stop()
{
    m_implementation->stopping = true;
    m_implementation->wake();
}

} // namespace daisystile
