#pragma once

/// @file
/// Connection racing ("Happy Eyeballs", RFC 8305): when it is unknown which of several hosts runs, connections to them
/// are opened one shortly after another, and the first that opens is used. A host without power thus costs one attempt
/// delay instead of a connection timeout. No I/O: the caller opens the connections and reports how they end.

#include "bergamotroute/clock.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamotroute {

class ConnectionRace {
public:
    /// @param attemptDelay time after which the next attempt starts although the previous ones are still pending.
    explicit ConnectionRace(Duration attemptDelay)
        : m_attemptDelay(attemptDelay)
    {
    }

    /// Starts a race; the attempts of an earlier one no longer count.
    /// @param endpoints in order of preference.
    void start(std::vector<std::string> endpoints, TimePoint now);

    /// @return the endpoint to connect to now; nothing if no attempt is due.
    std::optional<std::string> takeDueAttempt(TimePoint now);

    /// @return time of the next attempt; noDeadline if none is left.
    TimePoint nextAttempt() const;

    /// Records a failed attempt; the next one is then due at once.
    void recordFailure(const std::string& endpoint, TimePoint now);

    /// Records an open connection and ends the race if it is the first.
    /// @return the attempts that have lost and are to be cancelled; nothing if the endpoint takes no part in the race.
    std::optional<std::vector<std::string>> recordConnected(const std::string& endpoint);

    /// @return true from start() until an attempt has won or all have failed.
    bool isRunning() const { return !m_waiting.empty() || !m_pending.empty(); }

private:
    Duration m_attemptDelay;
    /// Endpoints without an attempt, the least preferred one first.
    std::vector<std::string> m_waiting;
    std::vector<std::string> m_pending;
    TimePoint m_nextAttempt = noDeadline;
};

}
