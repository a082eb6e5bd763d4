#pragma once

/// @file
/// States of a target that follow from its record: whether it has left for good, and its description for operators.

#include "targets/load_estimator.h"
#include "targets/new_flow_counter.h"
#include "targets/table_planner.h"
#include "targets/target_store.h"

#include "state.pb.h"

namespace bergamotroute {

/// @return true if the flows of the target are over: it is removed, drained empty, past its drain deadline, or its
/// lease and quarantine have ended.
bool isTargetGone(const TargetRecord& record, const TargetStore& store, const LoadEstimator& load,
    const NewFlowCounter& newFlows, TimePoint now);

/// Fills the operators' description of a target, except for its load and share.
void describeTarget(schema::TargetState& state, const TargetRecord& record, bool healthy, TimePoint now);

/// @return slots times operator weight.
double capacityOf(const TargetRecord& record);

/// @return the target's part of all shares, between 0 and 1.
double shareFraction(const TargetShares& shares, TargetId target);

}
