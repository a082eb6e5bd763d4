#pragma once

/// @file
/// Fake callers: they open flows, send segments, retransmit them and judge how each flow ended.

#include "scenario/backend_server.h"
#include "scenario/event_queue.h"
#include "scenario/flow_table.h"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace bergamotroute::scenario {

/// Where the flows of a service go.
struct ServiceEndpoint {
    std::uint16_t service = 0;
    IpAddress address;
    std::uint16_t port = 0;
};

/// All callers of a scenario.
class Callers {
public:
    using Send = std::function<void(FlowId, std::vector<std::byte>)>;

    /// @param isServed tells whether the backend server of a flow lives and knows the flow.
    Callers(EventQueue& queue, Random& random, FlowTable& flows, Send send, IsServed isServed);

    /// Opens a flow now.
    /// @param every time between segments, zero for none.
    /// @param life time after which the caller closes the flow, zero for never.
    void open(const ServiceEndpoint& endpoint, FlowKind kind, SimTime interval, SimTime lifetime);

    void handleReply(const Reply& reply);

    /// Handles a packet that an entry host made: a refusal or a probe.
    void handleHostPacket(std::span<const std::byte> packet);

    /// Something on the way loses track of the flow: neither end hears the other any more.
    void silence(Flow& flow);

private:
    void armTimer(Flow& flow, SimTime delay);
    void handleTimer(FlowId id, std::uint32_t generation);
    void sendSegment(Flow& flow, std::uint8_t flags, bool withPayload);
    void startSegment(Flow& flow, std::uint8_t flags);
    void resend(Flow& flow);
    void sendNext(Flow& flow);
    void sendDatagram(Flow& flow);
    void handleSynAck(Flow& flow, const Reply& reply);
    void handleAcknowledgement(Flow& flow, const Reply& reply);
    void handleDatagramReceived(Flow& flow, const Reply& reply);
    void handleReset(Flow& flow, const Reply& reply);
    void finish(Flow& flow, FlowPhase phase);
    void fail(Flow& flow, const char* reason);

    EventQueue& m_queue;
    Random& m_random;
    FlowTable& m_flows;
    Send m_send;
    IsServed m_isServed;
};

}
