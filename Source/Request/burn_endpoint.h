#pragma once

#include "burn_report.h"

#include <functional>

namespace daisystile {

/// Starts to collect a report; may call back on another thread.
using burn_report_source = std::function<void(std::function<void(burn_report)>)>;

/// Serves GET .../report/burn?format=json|text|html; responds on the loop's thread.
http_handler burnReportHandler(reactor &loop, burn_report_source fetchReport);

} // namespace daisystile
