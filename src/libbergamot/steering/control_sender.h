#pragma once

/// @file
/// Sends control messages to other entry hosts within a limit of bytes per second.

#include "bergamotroute/clock.h"
#include "bergamotroute/entry_host.h"

namespace bergamotroute {

/// Token bucket that counts bytes. consume() may make the balance negative.
class TokenBucket {
public:
    TokenBucket(std::uint32_t bytesPerSecond, std::uint32_t burstBytes, TimePoint now);

    /// Consumes the bytes even if the bucket holds fewer.
    void consume(std::size_t bytes, TimePoint now);

    /// Consumes the bytes if the bucket holds as many or is full. A full bucket also admits a larger message, which
    /// makes the balance negative.
    /// @return true if the bytes were consumed.
    bool tryConsume(std::size_t bytes, TimePoint now);

private:
    void refill(TimePoint now);

    std::int64_t m_bytesPerSecond;
    std::int64_t m_burstBytes;
    std::int64_t m_milliBytes;
    TimePoint m_refilled;
};

/// Sends control messages and counts their bytes. Messages that are not urgent are sent only within the budget.
class ControlSender {
public:
    ControlSender(const EntryHostOptions& options, EntryHostSink& sink, TimePoint now);

    /// Sends a message even if the budget is exhausted, and charges its bytes to the budget.
    void sendUrgent(HostIndex peer, schema::PeerMessage& message, TimePoint now);

    /// Sends a message if the budget or the reserve allows it.
    /// @return false if the message was not sent.
    bool trySend(HostIndex peer, schema::PeerMessage& message, TimePoint now);

    /// @return bytes sent so far, IP and UDP headers included.
    std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    void send(HostIndex peer, const schema::PeerMessage& message, std::size_t bytes);

    EntryHostSink& m_sink;
    std::string m_host;
    TokenBucket m_budget;
    /// Allows record transfers to make progress while urgent messages use up the whole budget.
    TokenBucket m_reserve;
    std::uint64_t m_sentBytes = 0;
};

}
