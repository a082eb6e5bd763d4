#pragma once

/// @file
/// What an entry host knows about the use of its own network link; docs/design/overload.md.

#include "bergamotroute/clock.h"

#include <cstddef>

namespace bergamotroute {

/// Bytes of the Ethernet, IPv4 and UDP headers of a datagram.
inline constexpr std::size_t linkHeaderBytes = 42;

/// State of the link at one time, passed from the packet path to the decisions on flows.
struct LinkState {
    /// The link is full in one direction, or was until shortly before, so this host's own observations of targets are
    /// not reliable.
    bool isOverloaded = false;
    /// Bytes per second that may be sent to targets; zero if the capacity of the link is not known.
    double bytesPerSecond = 0;
    /// Time that a packet queued now waits before it is sent, by class.
    Duration urgentDelay { 0 };
    Duration bulkDelay { 0 };
};

}
