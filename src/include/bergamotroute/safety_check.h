#pragma once

/// @file
/// Checks before a change that only an operator's --force may skip.

#include "bergamotroute/result_code.h"

#include "configuration.pb.h"
#include "state.pb.h"

#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

/// What the checks know of the deployment.
struct DeploymentView {
    schema::Configuration configuration;
    /// Targets as the entry hosts that answered see them.
    std::vector<schema::TargetState> targets;
    /// Entry hosts that answered.
    std::vector<schema::EntryHostState> entryHosts;
    /// Identities of the control hosts that answered.
    std::vector<std::string> reachableControlIdentities;
};

/// A reason not to carry out changes.
struct SafetyViolation {
    std::error_code code;
    /// What would happen, and the flag that forces the change; empty without fault.
    std::string reason;

    explicit operator bool() const { return static_cast<bool>(code); }
};

/// Checks changes that come into force together.
/// @return the first fault: a service that accepts new flows now would have no accepting backend server, no entry host
///     would be left, or the control hosts left would have no majority.
SafetyViolation checkSafety(std::span<const schema::Change> changes, const DeploymentView& view);

}
