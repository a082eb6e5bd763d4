#pragma once

/// @file
/// Sends flow records to new owners and backups within the control budget. docs/design.md, section 5.11.

#include "steering/steering_state.h"

#include <deque>
#include <optional>
#include <vector>

namespace bergamotroute {

/// Transfers records over an acknowledged stream to each peer, one message at a time.
class RecordTransfer {
public:
    RecordTransfer(SteeringState& state, TimePoint now);

    /// Notes a new record, so that joining hosts which will hold its bucket get it too.
    void addNewRecord(const FlowEntry& entry);

    /// Starts to send a joining host the records that it will hold.
    void startJoin(HostIndex host);

    /// @return true if nothing waits to be sent to this host.
    bool isIdleFor(HostIndex host) const { return !m_streams[host].inFlight && m_streams[host].queue.empty(); }

    /// Notes that a host no longer joins.
    void stopJoin(HostIndex host) { m_joining &= ~hostBit(host); }

    /// Sends records to hosts that became owner or backup, then the end mark of the new view to all ready hosts.
    /// @param former owners of each service's buckets in the view before, by slot.
    /// @param readyBefore ready hosts of the view before.
    void handleViewChange(const std::vector<std::vector<BucketOwners>>& previous, HostMask readyBefore);

    /// Hands records of flows that were assigned without a quorum to their owners.
    void handOverDivergent();

    void handleRecords(HostIndex from, const schema::FlowRecords& records, TimePoint now);
    void handleAcknowledgement(HostIndex from, const schema::FlowRecordsAcknowledgement& acknowledgement);

    /// Sends and repeats messages that are due.
    void advance(TimePoint now);

    /// @return true if the host has sent all records for the view.
    bool hasFinished(HostIndex host, HostMask view) const { return m_finished[host] == view; }

    /// @return true if the host has sent a joining host all records for some view.
    bool hasSentAny(HostIndex host) const { return m_finished[host] != 0; }

    /// Forgets what a host has sent, because it or this host joins anew.
    void resetFinished(HostIndex host) { m_finished[host] = 0; }

    /// @return true if nothing waits to be sent to hosts that are alive.
    bool isIdle() const;

private:
    struct Item {
        std::uint64_t flow = 0;
        ServiceIndex serviceIndex = 0;
        /// Non-zero: end mark of a view instead of a flow.
        HostMask view = 0;
    };
    struct Stream {
        std::deque<Item> queue;
        std::optional<schema::PeerMessage> inFlight;
        TimePoint sentAt = TimePoint::min();
        std::uint32_t chunk = 0;
    };

    bool shouldTransfer(const FlowEntry& entry) const;
    void enqueue(HostIndex host, const FlowEntry& entry);
    void prepareNextMessage(Stream& stream);
    void storeHint(const schema::FlowRecord& record, ServiceIndex serviceIndex, TimePoint now);
    void storeTransferred(const schema::FlowRecord& record, ServiceIndex serviceIndex, TimePoint now);

    SteeringState& m_state;
    std::vector<Stream> m_streams;
    std::vector<HostMask> m_finished;
    HostMask m_joining = 0;
};

}
