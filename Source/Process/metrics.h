#pragma once

#include "clock.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace daisystile {

using metric_labels = std::map<std::string, std::string>;

/// Handle of one counter; cheap, may be copied and used from any thread. A default one counts nowhere.
class metric_counter
{
public:
    void add(double amount = 1);
    double value() const;

private:
    friend class metrics;
    prometheus::Counter *m_counter = nullptr;
};

/// Handle of one gauge.
class metric_gauge
{
public:
    void set(double value);
    void add(double amount);
    double value() const;

private:
    friend class metrics;
    prometheus::Gauge *m_gauge = nullptr;
};

/// Handle of one histogram of times.
class metric_histogram
{
public:
    void observe(microseconds time);

private:
    friend class metrics;
    prometheus::Histogram *m_histogram = nullptr;
};

/// All figures of one process. Names follow Prometheus: daisystile_..., _total for counters, _seconds for times.
/// Asking twice for the same name and labels gives the same figure. Ask once and keep the handle on hot paths.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    metric_counter counter(const std::string &name, const std::string &help, const metric_labels &labels = {});
    metric_gauge gauge(const std::string &name, const std::string &help, const metric_labels &labels = {});
    /// Bounds in seconds, growing; without any, bounds from 0.5 ms to 10 s.
    metric_histogram histogram(const std::string &name, const std::string &help, const metric_labels &labels = {}, const std::vector<double> &bounds = {});

    /// Prometheus text exposition, for GET /metrics.
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
