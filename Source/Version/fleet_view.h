#pragma once

#include "configuration.h"
#include "member.h"

#include <atomic>
#include <memory>
#include <vector>

namespace daisystile {

/// A fingerprint that no server may run until a time.
struct quarantined_request
{
    fingerprint request;
    service_name service;
    monotonic_time until;
};

/// What the control thread publishes to the traffic threads; never changed once published.
struct fleet_view
{
    std::uint64_t number = 0;
    std::shared_ptr<const configuration> config = std::make_shared<configuration>();
    /// All daemons not known dead, itself included, ordered by id.
    std::vector<member> members;
    std::vector<quarantined_request> quarantined;
    /// False until the newest configuration is known.
    bool ready = false;
};

/// Hands the newest view from the control thread to the traffic threads.
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
