#pragma once

/// @file
/// Forwards, relays, refuses or drops each caller's packet. See docs/design/flow_steering.md.

#include "steering/hint_queue.h"
#include "steering/record_transfer.h"
#include "steering/steering_state.h"

namespace bergamotroute {

/// A parsed packet with its flow hash, service and bucket.
struct SteeredPacket {
    std::span<const std::byte> bytes;
    const PacketView* view = nullptr;
    std::uint64_t flow = 0;
    ServiceIndex serviceIndex = noService;
    std::uint32_t bucket = 0;
    /// Host that relayed the packet, or noHost if it came from the fabric.
    HostIndex from = noHost;
    RelayKind kind = RelayKind::NotReady;

    bool isFirst() const { return view->isFirstPacket(); }
    bool isUdp() const { return view->flow.protocol == TransportProtocol::Udp; }
    bool endsFlow() const { return (view->tcpFlags & (TcpFin | TcpRst)) != 0; }
};

/// Packet path of one host.
class PacketPath {
public:
    PacketPath(SteeringState& state, RecordTransfer& transfer, HintQueue& hints);

    /// Handles a packet that came from the fabric, or that a host without a table or quorum relayed.
    ResultCode handleFabricPacket(const SteeredPacket& packet, TimePoint now);

    /// Handles a packet that another host relayed.
    /// @param target target of the flow; used only for RelayKind::RecordAndForward.
    ResultCode handleRelayedPacket(const SteeredPacket& packet, TargetId target, TimePoint now);

private:
    ResultCode relay(const SteeredPacket& packet, HostIndex peer, RelayKind kind, TargetId target = noTarget);
    ResultCode forward(const SteeredPacket& packet, TargetId target, TimePoint now);
    ResultCode forwardTo(const SteeredPacket& packet, const TargetInfo& target, TimePoint now);
    ResultCode drop(ResultCode reason);

    /// Finds the cached entry of the packet's flow if it may still be used: its target is known, and the entry is
    /// authoritative (recorded or divergent) or fresh. Erases the entry if the flow has ended.
    /// @param[out] target the entry's target; set only if an entry is returned.
    /// @return the entry, or a null pointer.
    FlowEntry* findUsable(const SteeredPacket& packet, TimePoint now, const TargetInfo** target = nullptr);
    bool isFresh(const FlowEntry& entry, Duration limit, TimePoint now) const;
    void updateFlowState(FlowEntry& entry, const SteeredPacket& packet, TimePoint now);
    FlowEntry* cacheFlow(const SteeredPacket& packet, TargetId target, TimePoint now);

    /// Replies to keep-alive probes must reach the bucket owner, because it sent the probe. The end of a handshake must
    /// reach it, so that it knows the flow and can probe it later.
    /// @return true if the packet is a pure ACK of a flow that may have been idle long enough to be probed, or the
    /// first packet after the first packet of its flow that this host sees.
    bool mayBeProbeAnswer(const SteeredPacket& packet, TimePoint now) const;
    bool mayForwardDirectly(const ServiceTable& table, std::uint32_t bucket, TimePoint now) const;
    ResultCode handleCached(const SteeredPacket& packet, const ServiceTable& table, FlowEntry& entry,
        const TargetInfo& target, bool needsOwner, TimePoint now);
    ResultCode handleSettled(const SteeredPacket& packet, TargetId base, TimePoint now);
    ResultCode sendToOwner(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);

    ResultCode handleToOwner(const SteeredPacket& packet, TimePoint now);
    /// Forwards the packet if this host has a record of its flow and it is not a first packet; drops it otherwise.
    ResultCode forwardRecorded(const SteeredPacket& packet, TimePoint now);
    ResultCode decide(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);
    ResultCode decideRecorded(const SteeredPacket& packet, const ServiceTable& table, FlowEntry& entry, TimePoint now);
    ResultCode decideNew(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);
    ResultCode recordNew(const SteeredPacket& packet, const ServiceTable& table, TargetId target, TimePoint now);
    /// @return true while this owner waits for the other hosts' entries of a bucket that has lost its owner and its
    /// backup, so that the target of an unknown flow is not certain yet.
    bool isCollecting(const ServiceTable& table, std::uint32_t bucket, TimePoint now) const;
    ResultCode forwardToBase(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);
    ResultCode sendThroughBackup(
        const SteeredPacket& packet, const ServiceTable& table, TargetId target, TimePoint now);
    HostIndex backupFor(const SteeredPacket& packet, const ServiceTable& table, TimePoint now) const;
    AdmissionVerdict admit(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);
    AdmissionVerdict pinnedVerdict(TimePoint now);
    ResultCode refuse(const SteeredPacket& packet);
    ResultCode recordAndForward(const SteeredPacket& packet, TargetId target, TimePoint now);

    ResultCode handleWithoutQuorum(const SteeredPacket& packet, TimePoint now);
    HostIndex readyPeerFor(const SteeredPacket& packet, TimePoint now) const;
    HostIndex selectIsolatedOwner(const SteeredPacket& packet, TimePoint now) const;
    ResultCode decideIsolated(const SteeredPacket& packet, TimePoint now);

    SteeringState& m_state;
    RecordTransfer& m_transfer;
    HintQueue& m_hints;
    TimePoint m_pinnedLimitSince = TimePoint::max();
};

}
