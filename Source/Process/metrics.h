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

/// Handle of one counter; cheap to copy, usable from any thread. A default-constructed handle does nothing.
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

/// Handle of one histogram of durations.
class metric_histogram
{
public:
    void observe(microseconds time);

private:
    friend class metrics;
    prometheus::Histogram *m_histogram = nullptr;
};

/// Registry of the metrics of one process. Names follow the Prometheus conventions: prefix daisystile_, suffix _total for
/// counters and _seconds for durations. The same name and labels yield the same metric; hot paths should keep the handle.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    metric_counter counter(const std::string &name, const std::string &help, const metric_labels &labels = {});
    metric_gauge gauge(const std::string &name, const std::string &help, const metric_labels &labels = {});
    /// Bucket bounds are in seconds, in increasing order; the default bounds range from 0.5 ms to 10 s.
    metric_histogram histogram(const std::string &name, const std::string &help, const metric_labels &labels = {}, const std::vector<double> &bounds = {});

    /// The metrics in the Prometheus text exposition format, for GET /metrics.
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace daisystile
