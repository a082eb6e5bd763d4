#include "libbergamotio/metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bergamotroute {

std::string serializeMetrics(const prometheus::Registry& registry)
{
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

void setGauge(prometheus::Registry& registry, const std::string& name, const std::string& help, double value,
    const std::map<std::string, std::string>& labels)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(labels).Set(value);
}

DurationHistogram::DurationHistogram(prometheus::Registry& registry, const std::string& name, const std::string& help)
    : m_histogram(prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(
        {}, prometheus::Histogram::BucketBoundaries { 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10 }))
{
}

void DurationHistogram::observe(std::chrono::nanoseconds duration)
{
    m_histogram.Observe(std::chrono::duration<double>(duration).count());
}

}
