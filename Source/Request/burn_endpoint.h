#pragma once

#include "burn_report.h"

#include <functional>

namespace daisystile {

/// Starts gathering a report; may call back from another thread.
using burn_gatherer = std::function<void(std::function<void(burn_report)>)>;

/// Serves GET .../report/burn?format=json|text|html; answers on the loop's thread.
http_handler burnReportHandler(reactor &loop, burn_gatherer gather);

} // namespace daisystile
