#pragma once

#include <Connection/connection.h>

#include <functional>
#include <vector>

namespace daisystile {

/// Access to the quarantine of the traffic thread; callbacks may run on another thread.
struct quarantine_source
{
    std::function<void(std::function<void(std::vector<quarantined_request>)>)> list;
    std::function<void(service_name, fingerprint)> lift;
};

/// Serves GET .../quarantine and DELETE .../quarantine/{service}/{fingerprint}; responds on the reactor's thread.
http_handler quarantineHandler(reactor &loop, quarantine_source source);

} // namespace daisystile
