#pragma once

#include <Connection/connection.h>

#include <functional>
#include <vector>

namespace daisystile {

/// What the endpoint needs of the traffic thread; all may call back from another thread.
struct quarantine_source
{
    std::function<void(std::function<void(std::vector<quarantined_request>)>)> list;
    std::function<void(service_name, fingerprint)> lift;
};

/// Serves GET .../quarantine and DELETE .../quarantine/{service}/{fingerprint}; answers on the loop's thread.
http_handler quarantineHandler(reactor &loop, quarantine_source source);

} // namespace daisystile
