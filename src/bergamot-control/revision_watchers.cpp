#include "revision_watchers.h"

#include <algorithm>
#include <limits>

namespace bergamotroute {

void RevisionWatchers::add(std::uint64_t since, Duration wait, std::function<void()> handler)
{
    m_watchers.push_back({ since, m_loop.now() + wait, std::move(handler) });
    fireDue(0);
}

void RevisionWatchers::fireAll() { fireDue(std::numeric_limits<std::uint64_t>::max()); }

void RevisionWatchers::fireDue(std::uint64_t revision)
{
    const TimePoint now = m_loop.now();
    std::vector<Watcher> kept;
    std::vector<Watcher> due;
    for (Watcher& watcher : m_watchers) {
        const bool isDue = watcher.since < revision || watcher.deadline <= now;
        (isDue ? due : kept).push_back(std::move(watcher));
    }
    m_watchers = std::move(kept);
    TimePoint next = noDeadline;
    for (const Watcher& watcher : m_watchers)
        next = std::min(next, watcher.deadline);
    m_timer.startAt(next);
    for (const Watcher& watcher : due)
        watcher.handler();
}

}
