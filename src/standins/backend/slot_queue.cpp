#include "standins/backend/slot_queue.h"

#include <utility>

namespace bergamotroute {

std::uint64_t SlotQueue::submit(SlotJob job, TimePoint now)
{
    if (m_busy >= m_slots && m_waiting.size() >= m_queueLimit)
        return 0;
    const std::uint64_t id = ++m_lastId;
    m_waiting.emplace(id, std::move(job));
    startWaiting(now);
    return id;
}

void SlotQueue::release(std::uint64_t id, TimePoint now)
{
    m_waiting.erase(id);
    if (m_running.erase(id) > 0)
        --m_busy;
    startWaiting(now);
}

void SlotQueue::startWaiting(TimePoint now)
{
    while (m_busy < m_slots && !m_waiting.empty()) {
        const auto first = m_waiting.begin();
        const std::uint64_t id = first->first;
        const SlotJob job = std::move(first->second);
        m_waiting.erase(first);
        if (job.deadline <= now) {
            job.expire();
            continue;
        }
        ++m_busy;
        m_running.insert(id);
        job.run();
    }
}

}
