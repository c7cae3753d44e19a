#include "address_opener.h"

#include "log.h"
#include "termination_signals.h"

#include <sstream>

namespace daisystile {

address_wait::address_wait(std::string purpose, const ip_address &address)
    : m_purpose(std::move(purpose)),
      m_address(address)
{
}

bool address_wait::mayPass(process_failure failure)
{
    return failure == process_failure::address_in_use || failure == process_failure::address_absent || failure == process_failure::out_of_descriptors;
}

bool address_wait::failed(const process_error &error, monotonic_time now)
{
    if (!mayPass(error.failure)) {
        return false;
    }
    std::ostringstream reason;
    reason << error;
    m_reason = reason.str();
    if (!m_since) {
        m_since = now;
        DAISYSTILE_LOG(WARNING, "listener") << "Address can't be opened yet; trying again." << field("for", m_purpose) << field("address", toString(m_address))
                                            << field("reason", m_reason);
    }
    return true;
}

void address_wait::opened(monotonic_time now)
{
    if (m_since) {
        DAISYSTILE_LOG(INFO, "listener") << "Address is open." << field("for", m_purpose) << field("address", toString(m_address))
                                         << field("waited_ms", std::chrono::duration_cast<milliseconds>(now - *m_since).count());
        m_since.reset();
    }
}

bool address_wait::waiting() const
{
    return m_since.has_value();
}

std::string address_wait::text() const
{
    return m_purpose + " " + toString(m_address) + " (" + m_reason + ")";
}

address_opener::address_opener(reactor &loop, std::string purpose, const ip_address &address, callbacks notify)
    : m_loop(loop),
      m_wait(std::move(purpose), address),
      m_notify(std::move(notify))
{
}

address_opener::~address_opener()
{
    stop();
}

void address_opener::start()
{
    m_timer = 0;
    leaf::try_handle_all(
        [this]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(m_notify.open());
            m_wait.opened(m_loop.now());
            m_notify.opened();
            return {};
        },
        [this](const process_error &error) { retry(error); },
        [this] {
            giveUp({process_failure::library_failed, "listener"});
        });
}

void address_opener::retry(const process_error &error)
{
    const bool first = !m_wait.waiting();
    if (!m_wait.failed(error, m_loop.now())) {
        giveUp(error);
        return;
    }
    m_timer = m_loop.after(address_wait::retryInterval, [this] { start(); });
    if (first) {
        m_notify.waits();
    }
}

void address_opener::giveUp(const process_error &error)
{
    m_notify.failed(error);
}

void address_opener::stop()
{
    m_loop.cancelTimer(std::exchange(m_timer, 0));
}

bool address_opener::waiting() const
{
    return m_timer != 0;
}

std::string address_opener::text() const
{
    return m_wait.text();
}

leaf::result<bool> openBeforeRunning(std::string purpose, const ip_address &address, const std::function<leaf::result<void>()> &open)
{
    address_wait wait(std::move(purpose), address);
    const auto attempt = [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(open());
        wait.opened(std::chrono::steady_clock::now());
        return true;
    };
    for (;;) {
        auto isOpen = leaf::try_handle_some(attempt, [&](const process_error &error) -> leaf::result<bool> {
            if (!wait.failed(error, std::chrono::steady_clock::now())) {
                return leaf::new_error(error);
            }
            return false;
        });
        if (!isOpen || *isOpen) {
            return isOpen;
        }
        if (terminationWithin(address_wait::retryInterval)) {
            DAISYSTILE_LOG(INFO, "daemon") << "Stopped while waiting." << field("for", wait.text());
            return false;
        }
    }
}

} // namespace daisystile
