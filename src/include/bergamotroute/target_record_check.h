#pragma once

/// @file
/// Which records of targets may enter a registry. A record that may not is left out alone, so that one odd record, from
/// another writer, an earlier version or a file, keeps no other one away.

#include "directory.pb.h"

#include <string>

namespace bergamotroute {

/// @return why the record names no target; empty if it names one.
std::string findRecordFault(const schema::TargetRecord& record);

}
