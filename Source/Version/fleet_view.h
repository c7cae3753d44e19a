#pragma once

#include "configuration.h"
#include "member.h"

#include <atomic>
#include <memory>
#include <vector>

namespace daisystile {

/// A request fingerprint that no backend server may run until the given time.
struct quarantined_request
{
    fingerprint request;
    service_name service;
    monotonic_time until;
};

/// State of the fleet that the control thread publishes to the traffic threads; immutable once published.
struct fleet_view
{
    std::uint64_t number = 0;
    std::shared_ptr<const configuration> config = std::make_shared<configuration>();
    /// All daemons that are not known to be dead, including this one, ordered by id.
    std::vector<member> members;
    std::vector<quarantined_request> quarantined;
    /// False until this daemon holds the newest configuration.
    bool ready = false;
};

/// Passes the newest view from the control thread to the traffic threads.
class view_publisher
{
public:
    void publish(std::shared_ptr<const fleet_view> view)
    {
        m_view.store(std::move(view));
    }

    std::shared_ptr<const fleet_view> current() const
    {
        return m_view.load();
    }

private:
    std::atomic<std::shared_ptr<const fleet_view>> m_view {std::make_shared<const fleet_view>()};
};

} // namespace daisystile
