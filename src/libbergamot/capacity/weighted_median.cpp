#include "capacity/weighted_median.h"

#include <algorithm>

namespace bergamotroute {

double takeWeightedMedian(std::vector<WeightedValue>& values)
{
    std::sort(values.begin(), values.end(),
        [](const WeightedValue& left, const WeightedValue& right) { return left.value < right.value; });
    double total = 0;
    for (const WeightedValue& item : values)
        total += item.weight;
    double sum = 0;
    for (std::size_t i = 0; i + 1 < values.size(); ++i) {
        sum += values[i].weight;
        if (2 * sum > total)
            return values[i].value;
        if (2 * sum == total)
            return (values[i].value + values[i + 1].value) / 2;
    }
    return values.back().value;
}

}
