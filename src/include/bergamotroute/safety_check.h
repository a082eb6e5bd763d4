#pragma once

/// @file
/// Checks of a change before it is submitted. Only the --force flag of an operator skips them.

#include "bergamotroute/result_code.h"

#include "configuration.pb.h"
#include "state.pb.h"

#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

/// State of the deployment, as far as the checks know it.
struct DeploymentView {
    schema::Configuration configuration;
    /// Targets in the view of the entry hosts that answered.
    std::vector<schema::TargetState> targets;
    /// Entry hosts that answered.
    std::vector<schema::EntryHostState> entryHosts;
    /// Identities of the control hosts that answered.
    std::vector<std::string> reachableControlIdentities;
};

/// A reason to refuse changes.
struct SafetyViolation {
    std::error_code code;
    /// What the changes would cause, and the flag that overrides the check; empty without a violation.
    std::string reason;

    explicit operator bool() const { return static_cast<bool>(code); }
};

/// Checks changes that take effect together.
/// @return the first violation: a service that accepts new flows now would have no backend server that accepts them, no
///     ready entry host would remain, or the reachable control hosts would not be a majority of the remaining voters.
SafetyViolation checkSafety(std::span<const schema::Change> changes, const DeploymentView& view);

}
