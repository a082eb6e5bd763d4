#pragma once

/// @file
/// Metrics in Prometheus text form, serialised on the event loop. prometheus-cpp's own exposer starts threads.

#include <cstdint>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace bergamotroute {

/// Serialises all metrics of a registry.
std::string serializeMetrics(const prometheus::Registry& registry);

/// Sets a gauge without labels, creating it if needed.
void setGauge(prometheus::Registry& registry, const std::string& name, const std::string& help, double value);

}
