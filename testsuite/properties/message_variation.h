#pragma once

/// @file
/// Generator of valid messages: replaces the field values of a valid message by others that the schema allows.

#include <google/protobuf/message.h>

namespace bergamotroute::properties {

/// Replaces numbers, truth values, enumerators, and strings without a format by generated ones, also in nested
/// messages. Absent fields stay absent.
void varyFields(google::protobuf::Message& message);

}
