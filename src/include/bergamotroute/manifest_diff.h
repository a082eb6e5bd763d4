#pragma once

/// @file
/// From a manifest and the present configuration to an ordered list of changes.

#include "configuration.pb.h"
#include "manifest.pb.h"

#include <string>
#include <vector>

namespace bergamotroute {

/// Changes a configuration as a control host does, without its checks.
/// @return false if the change alters nothing.
bool applyToConfiguration(const schema::Change& change, schema::Configuration& configuration);

/// Compares a manifest with a configuration.
/// @return the changes that lead to the manifest's state in an order in which each is valid: removed services, changed
///     ones, new ones, data centres, backend servers, intended changes. Empty if the state is reached already, so that
///     a manifest can be applied twice.
std::vector<schema::Change> diffManifest(const schema::Manifest& manifest, const schema::Configuration& configuration);

/// @return one line for people, such as "add service ordering 10.9.0.1:443".
std::string describeChange(const schema::Change& change);

}
