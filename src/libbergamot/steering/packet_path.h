#pragma once

/// @file
/// Decides what happens to each caller's packet. docs/design.md, sections 5.3 to 5.7, 5.13, 5.15 and 5.17.

#include "steering/hint_queue.h"
#include "steering/record_transfer.h"
#include "steering/steering_state.h"

namespace bergamotroute {

/// A packet on its way through the decision.
struct SteeredPacket {
    std::span<const std::byte> bytes;
    const PacketView* view = nullptr;
    std::uint64_t flow = 0;
    ServiceIndex serviceIndex = noService;
    std::uint32_t bucket = 0;
    /// Host that relayed the packet, or noHost if the fabric handed it over.
    HostIndex from = noHost;
    RelayKind kind = RelayKind::NotReady;

    bool isFirst() const { return view->isFirstPacket(); }
    bool isUdp() const { return view->flow.protocol == TransportProtocol::Udp; }
    bool endsFlow() const { return (view->tcpFlags & (TcpFin | TcpRst)) != 0; }
};

/// Packet decisions of one host.
class PacketPath {
public:
    PacketPath(SteeringState& state, RecordTransfer& transfer, HintQueue& hints);

    /// Handles a packet that the fabric handed over, or that a host without tables relayed.
    ResultCode handleFabricPacket(const SteeredPacket& packet, TimePoint now);

    /// Handles a packet that another host relayed.
    /// @param target meaningful for RelayKind::RecordAndForward.
    ResultCode handleRelayedPacket(const SteeredPacket& packet, TargetId target, TimePoint now);

private:
    ResultCode relay(const SteeredPacket& packet, HostIndex peer, RelayKind kind, TargetId target = noTarget);
    ResultCode forward(const SteeredPacket& packet, TargetId target, TimePoint now);
    ResultCode forwardTo(const SteeredPacket& packet, const TargetInfo& target, TimePoint now);
    ResultCode drop(ResultCode reason);

    /// @return the entry if it may still be used: its target lives and it is recorded or fresh.
    /// @param[out] target the entry's target, valid with the entry.
    FlowEntry* findUsable(const SteeredPacket& packet, TimePoint now, const TargetInfo** target = nullptr);
    bool isFresh(const FlowEntry& entry, Duration limit, TimePoint now) const;
    void touch(FlowEntry& entry, const SteeredPacket& packet, TimePoint now);
    FlowEntry* cacheFlow(const SteeredPacket& packet, TargetId target, TimePoint now);

    /// Answers to probes go through the owner, which sent the probe (section 5.20).
    bool mayBeProbeAnswer(const SteeredPacket& packet, TimePoint now) const;
    bool mayForwardDirectly(const ServiceTable& table, std::uint32_t bucket, TimePoint now) const;
    ResultCode handleCached(const SteeredPacket& packet, const ServiceTable& table, FlowEntry& entry,
        const TargetInfo& target, bool needsOwner, TimePoint now);
    ResultCode handleSettled(const SteeredPacket& packet, TargetId base, TimePoint now);
    ResultCode sendToOwner(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);

    ResultCode handleToOwner(const SteeredPacket& packet, TimePoint now);
    /// Forwards a packet whose flow has a record here; drops any other.
    ResultCode forwardRecorded(const SteeredPacket& packet, TimePoint now);
    ResultCode decide(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);
    ResultCode decideRecorded(const SteeredPacket& packet, const ServiceTable& table, FlowEntry& entry, TimePoint now);
    ResultCode decideNew(const SteeredPacket& packet, const ServiceTable& table, TimePoint now);
    ResultCode recordNew(const SteeredPacket& packet, const ServiceTable& table, TargetId target, TimePoint now);
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
