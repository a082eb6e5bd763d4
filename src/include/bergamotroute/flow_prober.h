#pragma once

/// @file
/// Detects dead idle TCP flows, which fall silent when a device between caller and backend server loses their state.

#include "bergamotroute/clock.h"
#include "bergamotroute/packet.h"

#include "configuration.pb.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace bergamotroute {

struct EntryHostOptions;

/// A probe or reset that the entry host must send for one flow.
struct ProbeAction {
    enum class Kind {
        /// TCP keep-alive probe from the service address to the caller.
        Probe,
        /// TCP reset to the target, with the caller as its source.
        ResetTarget,
        /// TCP reset to the caller, with the service address as its source.
        ResetCaller,
    };
    Kind kind = Kind::Probe;
    /// Flow hash.
    std::uint64_t flow = 0;
    /// The whole inner packet.
    std::vector<std::byte> packet;
};

/// Probes idle TCP flows whose buckets this host owns, and ends those whose probes stay unanswered. See
/// docs/design/flow_steering.md, "Silent flows".
class FlowProber {
public:
    virtual ~FlowProber() = default;

    virtual void handleConfiguration(const schema::Configuration& configuration, TimePoint now) = 0;

    /// Updates the state of a flow from a packet of the caller; only for buckets that this host owns. Ignores packets
    /// other than TCP.
    /// @param flow flow hash.
    virtual void handlePacket(std::uint64_t flow, const PacketView& packet, TimePoint now) = 0;

    /// Removes a flow that ended or whose bucket moved to another owner.
    virtual void forget(std::uint64_t flow) = 0;

    /// @return probes and resets that are due; more may remain for the next deadline.
    virtual std::vector<ProbeAction> advance(TimePoint now) = 0;
    virtual TimePoint nextDeadline() const = 0;
};

/// @param options flowCacheEntries also limits the number of probed flows; not referenced after the call.
std::unique_ptr<FlowProber> makeFlowProber(const EntryHostOptions& options);

}
