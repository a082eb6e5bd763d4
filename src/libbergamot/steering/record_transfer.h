#pragma once

/// @file
/// Sends flow records to new owners and backups within the control budget. See
/// docs/design/flow_steering.md, "Owner change".

#include "steering/steering_state.h"

#include <deque>
#include <optional>
#include <vector>

namespace bergamotroute {

/// Transfers flow records to each peer over a stop-and-wait stream: a message is repeated until it is acknowledged, and
/// only then is the next one sent.
class RecordTransfer {
public:
    RecordTransfer(SteeringState& state, TimePoint now);

    /// Queues a new record for the joining hosts that will be owner or backup of its bucket.
    void addNewRecord(const FlowEntry& entry);

    /// Queues for a joining host the records of this host's buckets of which it will be owner or backup, then an end
    /// marker.
    void startJoin(HostIndex host);

    /// @return true if no record or end marker to the host is queued or unacknowledged.
    bool isIdleFor(HostIndex host) const { return !m_streams[host].inFlight && m_streams[host].queue.empty(); }

    /// Stops queuing new records for a host that is no longer joining.
    void stopJoin(HostIndex host) { m_joining &= ~hostBit(host); }

    /// Queues records for the hosts that became owner or backup, then the end marker of the new view for all ready
    /// hosts.
    /// @param previous owners in the previous view, by service index and bucket.
    /// @param readyBefore ready hosts in the previous view.
    void handleViewChange(const std::vector<std::vector<BucketOwners>>& previous, HostMask readyBefore, TimePoint now);

    /// Converts the entries of flows that were assigned without quorum to records and queues them for their owners.
    void handOverDivergent();

    void handleRecords(HostIndex from, const schema::FlowRecords& records, TimePoint now);
    void handleAcknowledgement(HostIndex from, const schema::FlowRecordsAcknowledgement& acknowledgement);

    /// Sends and retransmits the messages that are due, and discards all messages to dead hosts and hosts that have
    /// left.
    void advance(TimePoint now);

    /// @return true if the host has sent all records for the view with these ready hosts.
    bool hasFinished(HostIndex host, HostMask view) const { return m_finished[host] == view; }

    /// @return true if the host has sent this host all records for some view.
    bool hasSentAny(HostIndex host) const { return m_finished[host] != 0; }

    /// Discards which view a host has sent all records for, because the host or this host joins again.
    void resetFinished(HostIndex host) { m_finished[host] = 0; }

    /// @return true if no record or end marker to any host is queued or unacknowledged. advance() discards those to
    /// dead hosts and hosts that have left.
    bool isIdle() const;

private:
    struct Item {
        std::uint64_t flow = 0;
        ServiceIndex serviceIndex = 0;
        /// Ready hosts of a view if the item is the end marker of that view; zero if it is a flow.
        HostMask view = 0;
    };
    struct Stream {
        std::deque<Item> queue;
        std::optional<schema::PeerMessage> inFlight;
        TimePoint sentAt = TimePoint::min();
        std::uint32_t chunk = 0;
    };

    bool shouldTransfer(const FlowEntry& entry) const;
    /// Queues this host's cached entries of buckets that have lost owner and backup for their new owners and backups.
    void sendEntriesOfLostHolders(TimePoint now);
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
