#pragma once

/// @file
/// Weighted median: unlike a mean, it is not moved far by one wrong value.

#include <vector>

namespace bergamotroute {

struct WeightedValue {
    double value = 0;
    double weight = 0;
};

/// @param values at least one, with weights above zero; sorted by the call.
/// @return the value at which half of the total weight is reached; the mean of two neighbours if it is reached exactly
/// between them.
double takeWeightedMedian(std::vector<WeightedValue>& values);

}
