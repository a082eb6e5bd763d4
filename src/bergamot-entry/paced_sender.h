#pragma once

/// @file
/// Sends the packets of an entry host. While the host controls overload, packets to targets are paced and ordered by a
/// PacketScheduler, and the use of the link is measured; otherwise packets are sent as they come.

#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/link_monitor.h"
#include "bergamotroute/packet_scheduler.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/udp_socket.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>

namespace bergamotroute {

/// Values for operators; zero while overload is not controlled.
struct LinkStatistics {
    LinkState state;
    double receiveUse = 0;
    double sendUse = 0;
    std::size_t urgentBytes = 0;
    std::size_t bulkBytes = 0;
    SchedulerCounters packets;
    Duration overloadedTime { 0 };
};

class PacedSender {
public:
    using TrafficSource = std::function<UdpTraffic()>;

    /// @param steering tells whether overload is controlled and takes the state of the link.
    /// @param socket carries the packets of clients; must outlive the object, as must the loop and the steering.
    /// @param linkBytesPerSecond capacity of the link; zero if unknown.
    PacedSender(EventLoop& loop, CookieSteering& steering, UdpSocket& socket, double linkBytesPerSecond);

    /// Sets the source of the traffic of other sockets on the same link, which is part of the measured use.
    void setOtherTraffic(TrafficSource source) { m_otherTraffic = std::move(source); }

    /// Sends a packet to a target, now or when its turn comes.
    /// @param prefix bytes in front of the packet.
    void sendToTarget(const FlowPacket& packet, const Endpoint& endpoint, std::span<const std::byte> prefix,
        std::span<const std::byte> datagram);

    /// Sends a packet to a client without a wait.
    void sendToClient(const Endpoint& endpoint, std::span<const std::byte> datagram);

    /// Sends what is due and reports the state of the link; to be called after each batch of packets and when the
    /// routing document has changed.
    void finishBatch();

    /// Sends all queued packets without a wait, because the process ends.
    void sendAll();

    LinkStatistics statistics() const;

private:
    struct Control {
        Control(double linkBytesPerSecond, const LinkTotals& totals, TimePoint now)
            : scheduler(linkBytesPerSecond)
            , monitor(linkBytesPerSecond, totals, now)
        {
        }

        PacketScheduler scheduler;
        LinkMonitor monitor;
    };

    void applySwitch();
    void sendDue();
    void updateState();
    void logState() const;
    void startTimer();
    LinkTotals totals() const;
    LinkState linkState() const;

    EventLoop& m_loop;
    CookieSteering& m_steering;
    UdpSocket& m_socket;
    double m_linkBytesPerSecond;
    TrafficSource m_otherTraffic;
    /// Empty while overload is not controlled.
    std::unique_ptr<Control> m_control;
    Timer m_timer;
};

}
