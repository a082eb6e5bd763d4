#pragma once

/// @file
/// Properties of a target that follow from its record: whether it is gone, its capacity, and its state for operators.

#include "targets/load_estimator.h"
#include "targets/new_flow_counter.h"
#include "targets/table_planner.h"
#include "targets/target_store.h"

#include "state.pb.h"

namespace bergamotroute {

/// @return true if the target is out of use and its flows are over: it was removed by an operator, its service
/// is not configured, it drained until it had no open connections or reached its drain deadline, or its lease and
/// quarantine have ended.
bool isTargetGone(const TargetRecord& record, const TargetStore& store, const LoadEstimator& load,
    const NewFlowCounter& newFlows, TimePoint now);

/// Fills the state of a target as operators see it, except for its load, share and number of first packets.
void describeTarget(schema::TargetState& state, const TargetRecord& record, bool healthy, TimePoint now);

/// @return number of slots times the weight that the operator has set, where 1 is the default weight.
double capacityOf(const TargetRecord& record);

/// @return the target's fraction of the sum of all shares, between 0 and 1.
double shareFraction(const TargetShares& shares, TargetId target);

}
