#pragma once

/// @file
/// Converts a routing document between the type that steering uses and the message that control hosts send.

#include "bergamotroute/routing_document.h"

#include "directory.pb.h"

#include <optional>

namespace bergamotroute {

schema::RoutingTable toProto(const RoutingDocument& document);

/// @return the document, or nothing if a route refers to a service that is not in the list, has no service, or has an
/// invalid kind or port.
std::optional<RoutingDocument> fromProto(const schema::RoutingTable& table);

}
