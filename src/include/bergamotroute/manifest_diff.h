#pragma once

/// @file
/// Computes the ordered list of changes that leads from the current configuration to a manifest.

#include "configuration.pb.h"
#include "manifest.pb.h"

#include <string>
#include <vector>

namespace bergamotroute {

/// Applies a change to a configuration like a control host, but without its validity checks.
/// @return false if the configuration did not change.
bool applyToConfiguration(const schema::Change& change, schema::Configuration& configuration);

/// @return the changes that lead to the manifest's state, in an order in which each is valid: removed services, edited
///     services, new services, data centres, backend servers, explicit changes. Empty if the configuration already has
///     that state, so that a manifest can be applied twice.
std::vector<schema::Change> diffManifest(const schema::Manifest& manifest, const schema::Configuration& configuration);

/// @return description of one line for operators, such as "add service ordering 10.9.0.1:443".
std::string describeChange(const schema::Change& change);

}
