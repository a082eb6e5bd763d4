#pragma once

/// @file
/// Finds flows that went silent because something between the ends lost track of them.

#include "bergamotroute/clock.h"
#include "bergamotroute/packet.h"

#include "configuration.pb.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace bergamotroute {

struct EntryHostOptions;

/// What the entry host sends for one flow.
struct ProbeAction {
    enum class Kind {
        /// A keep-alive probe from the service address to the caller.
        Probe,
        /// A reset to the target in the caller's name.
        ResetTarget,
        /// A reset to the caller in the target's name.
        ResetCaller,
    };
    Kind kind = Kind::Probe;
    std::uint64_t flow = 0;
    std::vector<std::byte> packet;
};

/// Probes idle flows that this host owns. docs/design.md, section 5.19.
class FlowProber {
public:
    virtual ~FlowProber() = default;

    virtual void handleConfiguration(const schema::Configuration& configuration, TimePoint now) = 0;

    /// Notes a packet of a TCP flow whose bucket this host owns.
    virtual void handlePacket(std::uint64_t flow, const PacketView& packet, TimePoint now) = 0;

    /// Forgets a flow that ended or whose bucket moved to another owner.
    virtual void forget(std::uint64_t flow) = 0;

    /// @return probes and resets that are due.
    virtual std::vector<ProbeAction> advance(TimePoint now) = 0;
    virtual TimePoint nextDeadline() const = 0;
};

/// Makes the flow prober of an entry host.
/// @param options capacity of the flow cache, which also bounds the probed flows; copied.
std::unique_ptr<FlowProber> makeFlowProber(const EntryHostOptions& options);

}
