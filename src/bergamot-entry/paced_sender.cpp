#include "bergamot-entry/paced_sender.h"

#include "libbergamotio/log.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace bergamotroute {

namespace {

    /// Interval at which the state of the link is updated while no packets arrive.
    constexpr Duration stateInterval { 100 };

    std::uint64_t linkBytes(std::uint64_t datagrams, std::uint64_t bytes)
    {
        return bytes + datagrams * linkHeaderBytes;
    }

    std::string toPercent(double fraction) { return std::to_string(std::lround(fraction * 100)); }

}

PacedSender::PacedSender(EventLoop& loop, CookieSteering& steering, UdpSocket& socket, double linkBytesPerSecond)
    : m_loop(loop)
    , m_steering(steering)
    , m_socket(socket)
    , m_linkBytesPerSecond(linkBytesPerSecond)
    , m_timer(loop, [this] { finishBatch(); })
{
}

void PacedSender::sendToTarget(const FlowPacket& packet, const Endpoint& endpoint, std::span<const std::byte> prefix,
    std::span<const std::byte> datagram)
{
    if (!m_control || m_control->scheduler.submit(packet, endpoint, prefix, datagram, m_loop.now()))
        m_socket.queue(endpoint, prefix, datagram);
}

void PacedSender::sendToClient(const Endpoint& endpoint, std::span<const std::byte> datagram)
{
    if (m_control)
        m_control->scheduler.countBypass(datagram.size(), m_loop.now());
    m_socket.queue(endpoint, {}, datagram);
}

void PacedSender::finishBatch()
{
    applySwitch();
    if (m_control)
        sendDue();
    m_socket.flush();
    if (m_control) {
        updateState();
        startTimer();
    }
}

void PacedSender::applySwitch()
{
    const bool isOn = m_steering.controlsOverload();
    if (isOn == (m_control != nullptr))
        return;
    if (isOn) {
        m_control = std::make_unique<Control>(m_linkBytesPerSecond, totals(), m_loop.now());
    } else {
        sendAll();
        m_control.reset();
        m_steering.setLinkState({});
    }
}

void PacedSender::sendDue()
{
    while (const std::optional<ScheduledPacket> packet = m_control->scheduler.take(m_loop.now()))
        m_socket.queue(packet->endpoint, {}, packet->datagram);
}

void PacedSender::sendAll()
{
    if (!m_control)
        return;
    while (const std::optional<ScheduledPacket> packet = m_control->scheduler.takeRegardless())
        m_socket.queue(packet->endpoint, {}, packet->datagram);
    m_socket.flush();
}

void PacedSender::updateState()
{
    const Duration delay = m_control->scheduler.delay(PacketClass::Bulk);
    if (m_control->monitor.update(totals(), delay, m_loop.now()))
        logState();
    m_steering.setLinkState(linkState());
}

void PacedSender::startTimer()
{
    const TimePoint nextUpdate = m_loop.now() + stateInterval;
    m_timer.startAt(std::min(m_control->scheduler.nextDue().value_or(nextUpdate), nextUpdate));
}

LinkTotals PacedSender::totals() const
{
    const UdpTraffic& own = m_socket.traffic();
    const UdpTraffic other = m_otherTraffic ? m_otherTraffic() : UdpTraffic {};
    return {
        linkBytes(own.receivedDatagrams + other.receivedDatagrams, own.receivedBytes + other.receivedBytes),
        linkBytes(own.sentDatagrams + other.sentDatagrams, own.sentBytes + other.sentBytes),
        own.fullBufferErrors + other.fullBufferErrors,
    };
}

LinkState PacedSender::linkState() const
{
    LinkState state;
    state.isOverloaded = m_control->monitor.isOverloaded();
    state.bytesPerSecond = m_control->scheduler.bytesPerSecond();
    state.urgentDelay = m_control->scheduler.delay(PacketClass::Urgent);
    state.bulkDelay = m_control->scheduler.delay(PacketClass::Bulk);
    return state;
}

void PacedSender::logState() const
{
    const LinkMonitor& monitor = m_control->monitor;
    const LinkState state = linkState();
    writeLog(state.isOverloaded ? LogLevel::Warning : LogLevel::Info,
        state.isOverloaded ? ResultCode::LinkOverloaded : ResultCode::LinkRecovered,
        state.isOverloaded ? "link overloaded" : "link no longer overloaded",
        { { "receive_percent", toPercent(monitor.receiveUse()) }, { "send_percent", toPercent(monitor.sendUse()) },
            { "urgent_delay_ms", std::to_string(state.urgentDelay.count()) },
            { "bulk_delay_ms", std::to_string(state.bulkDelay.count()) },
            { "send_errors", std::to_string(totals().refusedSends) } });
}

LinkStatistics PacedSender::statistics() const
{
    LinkStatistics statistics;
    if (!m_control)
        return statistics;
    statistics.state = linkState();
    statistics.receiveUse = m_control->monitor.receiveUse();
    statistics.sendUse = m_control->monitor.sendUse();
    statistics.urgentBytes = m_control->scheduler.queuedBytes(PacketClass::Urgent);
    statistics.bulkBytes = m_control->scheduler.queuedBytes(PacketClass::Bulk);
    statistics.packets = m_control->scheduler.counters();
    statistics.overloadedTime = m_control->monitor.overloadedTime();
    return statistics;
}

}
