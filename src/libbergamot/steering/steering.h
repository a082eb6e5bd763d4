#pragma once

/// @file
/// Flow steering of one host: packets, tables, records and changes of the view.

#include "steering/hint_queue.h"
#include "steering/packet_path.h"
#include "steering/record_transfer.h"
#include "steering/steering_state.h"
#include "steering/table_distribution.h"

namespace bergamotroute {

/// Flow steering without I/O. Times must not go back.
class Steering {
public:
    Steering(const EntryHostOptions& options, EntryHostSink& sink, Membership& membership, TargetManager& targets,
        AdmissionPolicy& admission, FlowProber& prober, ControlSender& sender, TimePoint now);

    ResultCode handlePacket(std::span<const std::byte> bytes, TimePoint now);
    std::size_t handlePackets(std::span<const std::span<const std::byte>> packets, TimePoint now);
    ResultCode handleRelayedPacket(
        HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> bytes, TimePoint now);

    /// Sends a packet that this host made in a caller's name to the target of the flow, and ends the flow.
    void sendToTarget(std::uint64_t flow, std::span<const std::byte> bytes, TimePoint now);

    /// Handles the messages of steering; others are ignored.
    void handleMessage(HostIndex from, const schema::PeerMessage& message, TimePoint now);

    /// Takes the steering part of an accepted heartbeat.
    void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now);
    void fillHeartbeat(schema::Heartbeat& heartbeat) const;

    void handleConfiguration(const schema::Configuration& configuration, TimePoint now);

    /// Runs timers. Called after Membership::advance().
    void advance(TimePoint now);

    /// Adds services, cache and counters to a state dump.
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
    /// This host was ready before and lost its place.
    bool m_isRejoining = false;
};

}
