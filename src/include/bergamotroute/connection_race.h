#pragma once

/// @file
/// Connection racing ("Happy Eyeballs", RFC 8305): when it is unknown which of several hosts runs, connections to them
/// are opened one shortly after another, and the first that opens is used. A host without power thus costs one attempt
/// delay instead of a connection timeout. Failed attempts can be repeated within the race, because hosts that lost
/// power together start within a fraction of a second. No I/O: the caller opens the connections and reports how they
/// end.

#include "bergamotroute/clock.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamotroute {

class ConnectionRace {
public:
    /// @param attemptDelay time after which the next attempt starts although the previous ones are still pending.
    /// @param retryDelay time from an attempt that has failed to the next one at the same endpoint, which doubles twice
    /// while the endpoint refuses; zero if it is not repeated.
    explicit ConnectionRace(Duration attemptDelay, Duration retryDelay = Duration(0))
        : m_attemptDelay(attemptDelay)
        , m_retryDelay(retryDelay)
    {
    }

    /// Starts a race; the attempts of an earlier one no longer count.
    /// @param endpoints in order of preference.
    void start(std::vector<std::string> endpoints, TimePoint now);

    /// @return the endpoint to connect to now; nothing if no attempt is due.
    std::optional<std::string> takeDueAttempt(TimePoint now);

    /// Adds an endpoint to a running race unless it takes part already.
    void add(const std::string& endpoint);

    /// @return time of the next attempt; noDeadline if none is left.
    TimePoint nextAttempt() const;

    /// Records a failed attempt; that of the next endpoint is then due at once.
    void recordFailure(const std::string& endpoint, TimePoint now);

    /// Records an open connection and ends the race if it is the first.
    /// @return the attempts that have lost and are to be cancelled; nothing if the endpoint takes no part in the race.
    std::optional<std::vector<std::string>> recordConnected(const std::string& endpoint);

    /// @return true from start() until an attempt has won, or all have failed and are not repeated.
    bool isRunning() const { return !m_waiting.empty() || !m_pending.empty(); }

private:
    struct Attempt {
        std::string endpoint;
        /// Time from which it may start or, if it is pending, at which it has started.
        TimePoint time;
        /// Time from its start to the next attempt.
        Duration retryDelay { 0 };
    };

    std::vector<Attempt>::iterator findPending(const std::string& endpoint);

    Duration m_attemptDelay;
    Duration m_retryDelay;
    /// In the order in which they are to start.
    std::vector<Attempt> m_waiting;
    std::vector<Attempt> m_pending;
    /// Time before which no attempt starts.
    TimePoint m_nextAttempt = noDeadline;
};

}
