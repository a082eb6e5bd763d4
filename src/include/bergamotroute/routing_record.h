#pragma once

/// @file
/// Converts a routing document between the type that steering uses and the message that control hosts send.

#include "bergamotroute/routing_document.h"

#include "directory.pb.h"

#include <optional>

namespace bergamotroute {

schema::RoutingTable toProto(const RoutingDocument& document);

/// @return the document, or nothing if a route or slow start refers to a service that is not in the list, a route has
/// no service or an invalid kind or port, or a rate in slow start is not a number from zero up.
std::optional<RoutingDocument> fromProto(const schema::RoutingTable& table);

}
