#include "bergamotroute/link_monitor.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    constexpr Duration window { 200 };
    constexpr double fullUse = 0.90;
    constexpr Duration fullDelay { 100 };
    constexpr double calmUse = 0.75;
    constexpr Duration calmDelay { 30 };
    constexpr Duration calmTime { 300 };
    /// Time for which a host remains overloaded after its link was full: probes and first packets that were sent in
    /// that time may still be unanswered.
    constexpr Duration afterEffect { 500 };
    constexpr double millisecondsPerSecond = 1000;

    std::int64_t toSlotNumber(TimePoint time, std::int64_t slotCount)
    {
        return time.time_since_epoch() / (window / slotCount);
    }

}

LinkMonitor::LinkMonitor(double linkBytesPerSecond, const LinkTotals& totals, TimePoint now)
    : m_windowBytes(linkBytesPerSecond * static_cast<double>(window.count()) / millisecondsPerSecond)
    , m_totals(totals)
    , m_updated(now)
    , m_slotNumber(toSlotNumber(now, slotCount))
    , m_lastNotCalm(now)
    , m_fullUntil(now)
{
}

bool LinkMonitor::update(const LinkTotals& totals, Duration schedulerDelay, TimePoint now)
{
    const bool wasOverloaded = m_isOverloaded;
    const bool hasRefusedSends = totals.refusedSends != m_totals.refusedSends;
    if (wasOverloaded)
        m_overloadedTime += now - m_updated;
    addToSlots(totals, now);
    sumSlots();
    m_totals = totals;
    m_updated = now;

    if (!isCalm(schedulerDelay, hasRefusedSends))
        m_lastNotCalm = now;
    if (isFull(schedulerDelay, hasRefusedSends))
        m_isFull = true;
    else if (now - m_lastNotCalm >= calmTime)
        m_isFull = false;
    if (m_isFull)
        m_fullUntil = now;
    m_isOverloaded = m_isFull || (wasOverloaded && now - m_fullUntil < afterEffect);
    return m_isOverloaded != wasOverloaded;
}

void LinkMonitor::addToSlots(const LinkTotals& totals, TimePoint now)
{
    const std::int64_t current = toSlotNumber(now, slotCount);
    // Bytes since the last update are spread evenly over the slots since then. After a pause of the process they would
    // otherwise all count as recent.
    const std::int64_t elapsed = std::max<std::int64_t>(current - m_slotNumber, 1);
    const double received = static_cast<double>(totals.receivedBytes - m_totals.receivedBytes);
    const double sent = static_cast<double>(totals.sentBytes - m_totals.sentBytes);
    for (std::int64_t number = std::max(m_slotNumber + 1, current - slotCount + 1); number <= current; ++number)
        slot(number) = {};
    for (std::int64_t number = current - std::min(elapsed, slotCount) + 1; number <= current; ++number) {
        slot(number).received += received / static_cast<double>(elapsed);
        slot(number).sent += sent / static_cast<double>(elapsed);
    }
    m_slotNumber = current;
}

LinkMonitor::Use& LinkMonitor::slot(std::int64_t number)
{
    return m_slots[static_cast<std::size_t>(number % slotCount)];
}

void LinkMonitor::sumSlots()
{
    m_use = {};
    for (const Use& slot : m_slots) {
        m_use.received += slot.received;
        m_use.sent += slot.sent;
    }
    m_use.received /= m_windowBytes;
    m_use.sent /= m_windowBytes;
}

bool LinkMonitor::isFull(Duration schedulerDelay, bool hasRefusedSends) const
{
    return hasRefusedSends || schedulerDelay > fullDelay || std::max(m_use.received, m_use.sent) > fullUse;
}

bool LinkMonitor::isCalm(Duration schedulerDelay, bool hasRefusedSends) const
{
    return !hasRefusedSends && schedulerDelay < calmDelay && std::max(m_use.received, m_use.sent) < calmUse;
}

}
