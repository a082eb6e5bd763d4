#pragma once

/// @file
/// Flow steering of one host: packet forwarding, bucket tables, flow records and view changes.

#include "steering/hint_queue.h"
#include "steering/packet_path.h"
#include "steering/record_transfer.h"
#include "steering/steering_state.h"
#include "steering/table_distribution.h"

namespace bergamotroute {

/// Flow steering without I/O. The times passed to successive calls must not decrease.
class Steering {
public:
    Steering(const EntryHostOptions& options, EntryHostSink& sink, Membership& membership, TargetManager& targets,
        AdmissionPolicy& admission, FlowProber& prober, ControlSender& sender, TimePoint now);

    ResultCode handlePacket(std::span<const std::byte> bytes, TimePoint now);
    std::size_t handlePackets(std::span<const std::span<const std::byte>> packets, TimePoint now);
    ResultCode handleRelayedPacket(
        HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> bytes, TimePoint now);

    /// Sends a packet that this host built on behalf of the caller to the target of the flow, and ends the flow.
    void sendToTarget(std::uint64_t flow, std::span<const std::byte> bytes, TimePoint now);

    /// Handles the control messages of flow steering and ignores all others.
    void handleMessage(HostIndex from, const schema::PeerMessage& message, TimePoint now);

    /// Handles the table versions in a heartbeat that Membership has accepted, and a new incarnation of its sender.
    void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now);
    void fillHeartbeat(schema::Heartbeat& heartbeat) const;

    void handleConfiguration(const schema::Configuration& configuration, TimePoint now);

    /// Runs the timers that are due. Must be called after Membership::advance().
    void advance(TimePoint now);

    /// Adds the services, the flow cache and the counters to a state dump.
    void dump(schema::EntryHostState& state) const;

private:
    ResultCode parse(std::span<const std::byte> bytes, PacketView& view, SteeredPacket& packet) const;
    void handlePeerChanges(TimePoint now);
    void retryJoinTransfers(TimePoint now);
    void changeView(TimePoint now);
    void completeView(TimePoint now);
    bool hasRecordsOfPreviousOwners() const;
    void advanceJoin(TimePoint now);
    bool isSynchronized() const;
    void advanceLeave(TimePoint now);
    void handOverAfterIsolation(TimePoint now);
    void reportLimits(TimePoint now);
    void sweepCache(TimePoint now);
    bool isExpired(FlowEntry& entry, TimePoint now);

    SteeringState m_state;
    RecordTransfer m_transfer;
    HintQueue m_hints;
    TableDistribution m_distribution;
    PacketPath m_path;
    std::uint64_t m_flowHashKey = 0;
    HostMask m_knownReady = 0;
    std::vector<schema::MemberState> m_knownStates;
    std::vector<std::uint64_t> m_knownIncarnations;
    TimePoint m_joinStart;
    TimePoint m_nextJoinRetry = TimePoint::min();
    TimePoint m_lastRelayReceived;
    TimePoint m_leaveStart = TimePoint::max();
    bool m_hadQuorum = false;
    /// This host was ready before, and joins again after it lost that state.
    bool m_isRejoining = false;
};

}
