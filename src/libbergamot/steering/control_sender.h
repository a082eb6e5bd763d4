#pragma once

/// @file
/// Sends control messages within the control budget.

#include "bergamotroute/clock.h"
#include "bergamotroute/entry_host.h"

namespace bergamotroute {

/// Token bucket in bytes. Urgent use may drive it below zero.
class TokenBucket {
public:
    TokenBucket(std::uint32_t bytesPerSecond, std::uint32_t burstBytes, TimePoint now);

    /// Takes the bytes in any case.
    void consume(std::size_t bytes, TimePoint now);

    /// @return true and takes the bytes if the bucket is not empty.
    bool tryConsume(std::size_t bytes, TimePoint now);

private:
    void refill(TimePoint now);

    std::int64_t m_bytesPerSecond;
    std::int64_t m_burstBytes;
    std::int64_t m_milliBytes;
    TimePoint m_refilled;
};

/// Counts and sends control messages. Messages that are not urgent wait for the budget.
class ControlSender {
public:
    ControlSender(const EntryHostOptions& options, EntryHostSink& sink, TimePoint now);

    /// Sends a message at once.
    void sendUrgent(HostIndex peer, schema::PeerMessage& message, TimePoint now);

    /// @return false if the budget does not allow the message now; it was not sent.
    bool trySend(HostIndex peer, schema::PeerMessage& message, TimePoint now);

    std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    void send(HostIndex peer, const schema::PeerMessage& message, std::size_t bytes);

    EntryHostSink& m_sink;
    std::string m_host;
    TokenBucket m_budget;
    /// Keeps record transfers going while urgent messages use the whole budget.
    TokenBucket m_reserve;
    std::uint64_t m_sentBytes = 0;
};

}
