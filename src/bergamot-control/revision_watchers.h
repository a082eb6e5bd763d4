#pragma once

/// @file
/// Calls that wait for a newer revision.

#include "libbergamotio/event_loop.h"

#include <functional>
#include <vector>

namespace bergamotroute {

/// Holds waiting calls until a newer revision or their deadline comes.
class RevisionWatchers {
public:
    explicit RevisionWatchers(EventLoop& loop)
        : m_loop(loop)
        , m_timer(loop, [this] { fireDue(0); })
    {
    }

    /// Calls the handler once: when a revision above `since` is accepted, or after the wait.
    void add(std::uint64_t since, Duration wait, std::function<void()> handler);

    /// Calls the handlers that wait for this revision or a lower one.
    void revisionAccepted(std::uint64_t revision) { fireDue(revision); }

    /// Calls all handlers, because the process stops.
    void fireAll();

    std::size_t size() const { return m_watchers.size(); }

private:
    struct Watcher {
        std::uint64_t since = 0;
        TimePoint deadline;
        std::function<void()> handler;
    };

    void fireDue(std::uint64_t revision);

    EventLoop& m_loop;
    std::vector<Watcher> m_watchers;
    Timer m_timer;
};

}
