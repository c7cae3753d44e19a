#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace daisystile {

static const std::vector<double> defaultBounds {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

struct metrics::implementation
{
    // Merge allows several call sites to request the same family.
    prometheus::Registry registry {prometheus::Registry::InsertBehavior::Merge};
};

void metric_counter::add(double amount)
{
    if (m_counter != nullptr) {
        m_counter->Increment(amount);
    }
}

double metric_counter::value() const
{
    return m_counter != nullptr ? m_counter->Value() : 0;
}

void metric_gauge::set(double value)
{
    if (m_gauge != nullptr) {
        m_gauge->Set(value);
    }
}

void metric_gauge::add(double amount)
{
    if (m_gauge != nullptr) {
        m_gauge->Increment(amount);
    }
}

double metric_gauge::value() const
{
    return m_gauge != nullptr ? m_gauge->Value() : 0;
}

void metric_histogram::observe(microseconds time)
{
    if (m_histogram != nullptr) {
        m_histogram->Observe(std::chrono::duration<double>(time).count());
    }
}

metrics::metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

metric_counter metrics::counter(const std::string &name, const std::string &help, const metric_labels &labels)
{
    metric_counter handle;
    handle.m_counter = &prometheus::BuildCounter().Name(name).Help(help).Register(m_implementation->registry).Add(labels);
    return handle;
}

metric_gauge metrics::gauge(const std::string &name, const std::string &help, const metric_labels &labels)
{
    metric_gauge handle;
    handle.m_gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(m_implementation->registry).Add(labels);
    return handle;
}

metric_histogram metrics::histogram(const std::string &name, const std::string &help, const metric_labels &labels, const std::vector<double> &bounds)
{
    metric_histogram handle;
    auto &family = prometheus::BuildHistogram().Name(name).Help(help).Register(m_implementation->registry);
    handle.m_histogram = &family.Add(labels, bounds.empty() ? defaultBounds : bounds);
    return handle;
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace daisystile
