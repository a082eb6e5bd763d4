#pragma once

/// @file
/// Metrics in Prometheus text form, serialised on the event loop. prometheus-cpp's own exposer starts threads.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Histogram;
class Registry;
}

namespace bergamotroute {

/// Serialises all metrics of a registry.
std::string serializeMetrics(const prometheus::Registry& registry);

/// Sets a gauge, creating it if needed.
/// @param labels names and values of its labels.
void setGauge(prometheus::Registry& registry, const std::string& name, const std::string& help, double value,
    const std::map<std::string, std::string>& labels = {});

/// A histogram of durations, from 0.1 ms to 10 s.
class DurationHistogram {
public:
    /// Adds the histogram to a registry, which outlives it.
    DurationHistogram(prometheus::Registry& registry, const std::string& name, const std::string& help);

    void observe(std::chrono::nanoseconds duration);

private:
    prometheus::Histogram& m_histogram;
};

}
