#pragma once

/// @file
/// Simulated backend server. It keeps the state of its flows and replies to callers directly, not through the balancer.

#include "scenario/flow_table.h"

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotroute::scenario {

/// A packet that a backend server sends directly to a caller, bypassing the balancer (direct server return).
struct Reply {
    enum class Kind : std::uint8_t {
        SynAck,
        Acknowledgement,
        Answer,
        FinAck,
        Reset,
    };
    Kind kind = Kind::Acknowledgement;
    FlowId flow = 0;
    BackendIndex server = noBackend;
    std::uint32_t epoch = 0;
    std::uint32_t serverSequence = 0;
    /// Next sequence number that the server expects from the caller.
    std::uint32_t acknowledgement = 0;
};

struct BackendIdentity {
    std::string name;
    BackendIndex index = noBackend;
    std::uint16_t service = 0;
    IpAddress address;
    std::uint16_t fouPort = 0;
    std::string dataCentre;
    std::uint32_t slots = 0;
    /// Service addresses configured on the loopback interface of the server.
    std::vector<IpAddress> serviceAddresses;
};

/// How the load reports of a backend server differ from its actual load: none, delayed, always zero, or ten times as
/// high.
enum class ReportMode {
    Honest,
    Lagging,
    Idle,
    Busy,
};

/// A simulated backend server. A TCP segment of an unknown flow is answered with a reset, unless it is the first packet
/// (SYN) of the flow.
class BackendServer {
public:
    using Send = std::function<void(const Reply&)>;

    BackendServer(BackendIdentity identity, FlowTable& flows, Send send);

    const BackendIdentity& identity() const { return m_identity; }
    BackendIdentity& identity() { return m_identity; }

    void receive(std::span<const std::byte> packet, SimTime now);
    void kill();
    void restart();
    bool isAlive() const { return m_isAlive; }
    /// @return number of the current start; increases with each restart.
    std::uint32_t epoch() const { return m_epoch; }
    /// @return true if the server is alive, has not restarted since the given epoch and has the flow open.
    bool serves(FlowId flow, std::uint32_t epoch) const;

    std::size_t openFlows() const { return m_flows.size(); }
    std::uint64_t acceptedFlows() const { return m_acceptedFlows; }
    SimTime lastAccepted() const { return m_lastAccepted; }

    bool isFrozen = false;
    bool isAnnouncing = true;
    int announcedState = 1;
    ReportMode reportMode = ReportMode::Honest;
    SimTime reportLag = 0;
    /// Number of open flows at each load report, oldest first; lagging reports send an older entry.
    std::vector<std::pair<SimTime, std::uint32_t>> openFlowHistory;

private:
    struct ServerFlow {
        std::uint32_t clientInitialSequence = 0;
        std::uint32_t clientNextSequence = 0;
        std::uint32_t serverInitialSequence = 0;
    };

    void receiveTcp(Flow& flow, const PacketView& packet, SimTime now);
    void receiveDatagram(Flow& flow, SimTime now);
    void acceptFirstPacket(Flow& flow, const PacketView& packet, SimTime now);
    void receiveSegment(Flow& flow, ServerFlow& record, const PacketView& packet);
    void recordAccepted(Flow& flow, SimTime now);
    void reply(Reply::Kind kind, const Flow& flow, const ServerFlow& record);
    void executeRequest(Flow& flow, const ServerFlow& record);

    BackendIdentity m_identity;
    FlowTable& m_table;
    Send m_send;
    std::unordered_map<FlowId, ServerFlow> m_flows;
    std::uint32_t m_epoch = 1;
    std::uint64_t m_acceptedFlows = 0;
    SimTime m_lastAccepted = -1;
    bool m_isAlive = true;
};

/// @return payload derived from flow and sequence number: callers send it, backend servers verify that it is unchanged.
std::vector<std::byte> segmentPayload(FlowId flow, std::uint32_t sequence);

/// Tells whether the backend server that accepted a flow is alive and still has it open.
using IsServed = std::function<bool(const Flow&)>;

}
