#pragma once

/// @file
/// Slots of a backend server with a bounded queue before them.

#include "bergamotroute/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace bergamotroute {

/// One request that needs a slot.
struct SlotJob {
    /// Runs when the job gets a slot.
    std::function<void()> run;
    /// Runs instead if the deadline passes in the queue; the request has then not run.
    std::function<void()> expire;
    TimePoint deadline = noDeadline;
};

/// Gives slots in order of arrival.
class SlotQueue {
public:
    SlotQueue(std::uint32_t slots, std::uint32_t queueLimit)
        : m_slots(slots)
        , m_queueLimit(queueLimit)
    {
    }

    /// Runs or queues a job.
    /// @return identifier for release(), or zero if the job is shed.
    std::uint64_t submit(SlotJob job, TimePoint now);

    /// Ends a job, running or queued. A finished request and a cancelled one do the same.
    void release(std::uint64_t id, TimePoint now);

    std::uint32_t busySlots() const { return m_busy; }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(m_waiting.size()); }

private:
    void startWaiting(TimePoint now);

    std::uint32_t m_slots;
    std::uint32_t m_queueLimit;
    std::uint32_t m_busy = 0;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, SlotJob> m_waiting;
    std::set<std::uint64_t> m_running;
};

}
