#pragma once

/// @file
/// Generator of valid messages: a valid message with other values in its fields, within the rules of the schema.

#include <google/protobuf/message.h>

namespace bergamotroute::properties {

/// Replaces numbers, truth values, enumerators, and strings without a format by generated ones, in nested messages too.
/// Fields that are absent stay absent.
void varyFields(google::protobuf::Message& message);

}
