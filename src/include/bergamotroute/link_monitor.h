#pragma once

/// @file
/// Measures how heavily the link of an entry host is used and decides whether the host is overloaded, without I/O;
/// docs/design/overload.md.

#include "bergamotroute/clock.h"

#include <array>
#include <cstdint>

namespace bergamotroute {

/// Sums since the start of the process; bytes include the headers of the link.
struct LinkTotals {
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentBytes = 0;
    /// Datagrams that the system did not accept for sending.
    std::uint64_t refusedSends = 0;
};

/// State of overload with hysteresis, and use of the link over the last 200 ms.
class LinkMonitor {
public:
    /// @param linkBytesPerSecond capacity of the link in each direction; must be above zero.
    /// @param totals sums at the time from which the link is measured.
    LinkMonitor(double linkBytesPerSecond, const LinkTotals& totals, TimePoint now);

    /// Takes a measurement.
    /// @param schedulerDelay time that a packet queued now waits before it is sent.
    /// @return true if isOverloaded() has changed.
    bool update(const LinkTotals& totals, Duration schedulerDelay, TimePoint now);

    /// @return true while the link is full and for 500 ms afterwards.
    bool isOverloaded() const { return m_isOverloaded; }

    /// @return use of the link as a fraction of its capacity, as of the last update.
    double receiveUse() const { return m_use.received; }
    double sendUse() const { return m_use.sent; }

    /// @return total time spent overloaded until the last update.
    Duration overloadedTime() const { return m_overloadedTime; }

private:
    struct Use {
        double received = 0;
        double sent = 0;
    };

    static constexpr std::int64_t slotCount = 20;

    void addToSlots(const LinkTotals& totals, TimePoint now);
    Use& slot(std::int64_t number);
    void sumSlots();
    bool isFull(Duration schedulerDelay, bool hasRefusedSends) const;
    bool isCalm(Duration schedulerDelay, bool hasRefusedSends) const;

    double m_windowBytes;
    LinkTotals m_totals;
    TimePoint m_updated;
    /// Bytes by slot of the window, as a ring.
    std::array<Use, slotCount> m_slots {};
    std::int64_t m_slotNumber;
    Use m_use;
    /// The link has been full and has not been calm for long enough since.
    bool m_isFull = false;
    bool m_isOverloaded = false;
    TimePoint m_lastNotCalm;
    TimePoint m_fullUntil;
    Duration m_overloadedTime { 0 };
};

}
