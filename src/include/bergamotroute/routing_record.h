#pragma once

/// @file
/// Converts a document between the type that decisions use and the message in which control hosts send it.

#include "bergamotroute/routing_document.h"

#include "directory.pb.h"

#include <optional>

namespace bergamotroute {

/// @return the message of a document.
schema::RoutingTable toProto(const RoutingDocument& document);

/// @return the document of a message, or nothing if a route names a service that is not in the list, has no service, or
/// has a kind or port that does not exist.
std::optional<RoutingDocument> fromProto(const schema::RoutingTable& table);

}
