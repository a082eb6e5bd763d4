#pragma once

/// @file
/// Token bucket of a paced link. A packet may be sent while tokens are left and may take more than are left, so that a
/// packet larger than the bucket can be sent.

#include "bergamotroute/clock.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace bergamotroute {

class TokenBucket {
public:
    /// @param bytesPerSecond rate; must be above zero.
    /// @param capacity tokens that an idle time may accumulate, as the time in which the rate provides them.
    /// @param maxDebt limit on the tokens that may be taken in advance, as the time in which the rate provides them.
    TokenBucket(double bytesPerSecond, Duration capacity, Duration maxDebt)
        : m_bytesPerMillisecond(bytesPerSecond / millisecondsPerSecond)
        , m_capacity(tokensOf(capacity))
        , m_maxDebt(tokensOf(maxDebt))
        , m_tokens(m_capacity)
    {
    }

    void refill(TimePoint now)
    {
        if (now <= m_refilled)
            return;
        m_tokens = std::min(m_capacity, m_tokens + tokensOf(now - m_refilled));
        m_refilled = now;
    }

    bool hasTokens() const { return m_tokens > 0; }

    void take(std::size_t bytes) { m_tokens = std::max(-m_maxDebt, m_tokens - static_cast<double>(bytes)); }

    /// @return time until the tokens suffice for packets that take this long to send.
    Duration timeUntil(Duration sendTime) const { return timeOf(tokensOf(sendTime) - m_tokens); }

    /// @return time in which the rate provides a number of bytes; zero for a negative number.
    Duration timeOf(double bytes) const
    {
        return Duration(static_cast<Duration::rep>(std::ceil(std::max(bytes, 0.0) / m_bytesPerMillisecond)));
    }

    /// @return bytes that were taken in advance.
    double debt() const { return std::max(-m_tokens, 0.0); }

    /// @return time of the last refill.
    TimePoint refilled() const { return m_refilled; }

private:
    static constexpr double millisecondsPerSecond = 1000;

    double tokensOf(Duration time) const { return m_bytesPerMillisecond * static_cast<double>(time.count()); }

    double m_bytesPerMillisecond;
    double m_capacity;
    double m_maxDebt;
    double m_tokens;
    TimePoint m_refilled;
};

}
