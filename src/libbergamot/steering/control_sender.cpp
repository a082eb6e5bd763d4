#include "steering/control_sender.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// IPv4 header (20 bytes) and UDP header (8 bytes) of a datagram.
    constexpr std::size_t datagramHeaderBytes = 28;
    constexpr std::int64_t milli = 1000;
    /// The budget is an average over 10 s; half of these bytes may be sent in one burst.
    constexpr std::uint32_t burstSeconds = 5;
    constexpr std::uint32_t reserveBytesPerSecond = 256;

}

TokenBucket::TokenBucket(std::uint32_t bytesPerSecond, std::uint32_t burstBytes, TimePoint now)
    : m_bytesPerSecond(bytesPerSecond)
    , m_burstBytes(burstBytes)
    , m_milliBytes(m_burstBytes * milli)
    , m_refilled(now)
{
}

void TokenBucket::refill(TimePoint now)
{
    m_milliBytes = std::min(m_burstBytes * milli, m_milliBytes + (now - m_refilled).count() * m_bytesPerSecond);
    m_refilled = now;
}

void TokenBucket::consume(std::size_t bytes, TimePoint now)
{
    refill(now);
    m_milliBytes -= static_cast<std::int64_t>(bytes) * milli;
}

bool TokenBucket::tryConsume(std::size_t bytes, TimePoint now)
{
    refill(now);
    if (m_milliBytes < static_cast<std::int64_t>(bytes) * milli && m_milliBytes < m_burstBytes * milli)
        return false;
    m_milliBytes -= static_cast<std::int64_t>(bytes) * milli;
    return true;
}

ControlSender::ControlSender(const EntryHostOptions& options, EntryHostSink& sink, TimePoint now)
    : m_sink(sink)
    , m_host(options.host)
    , m_budget(options.controlBytesPerSecond, options.controlBytesPerSecond * burstSeconds, now)
    , m_reserve(reserveBytesPerSecond, reserveBytesPerSecond, now)
{
}

void ControlSender::sendUrgent(HostIndex peer, schema::PeerMessage& message, TimePoint now)
{
    message.set_from(m_host);
    const std::size_t bytes = message.ByteSizeLong() + datagramHeaderBytes;
    m_budget.consume(bytes, now);
    send(peer, message, bytes);
}

bool ControlSender::trySend(HostIndex peer, schema::PeerMessage& message, TimePoint now)
{
    message.set_from(m_host);
    const std::size_t bytes = message.ByteSizeLong() + datagramHeaderBytes;
    if (!m_budget.tryConsume(bytes, now) && !m_reserve.tryConsume(bytes, now))
        return false;
    send(peer, message, bytes);
    return true;
}

void ControlSender::send(HostIndex peer, const schema::PeerMessage& message, std::size_t bytes)
{
    m_sentBytes += bytes;
    m_sink.sendMessage(peer, message);
}

}
