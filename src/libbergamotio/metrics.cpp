#include "libbergamotio/metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bergamotroute {

std::string serializeMetrics(const prometheus::Registry& registry)
{
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

void setGauge(prometheus::Registry& registry, const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

}
