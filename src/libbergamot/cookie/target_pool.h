#pragma once

/// @file
/// Targets as one entry host sees them: state from the registry, load from the packets that pass, load that other entry
/// hosts report, and whether first packets are answered.

#include "bergamotroute/clock.h"
#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/target_registry.h"
#include "bergamotroute/types.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

/// Load of one target.
struct ObservedLoad {
    std::uint32_t openFlows = 0;
    /// Requests whose answer has not begun.
    std::uint32_t requests = 0;
};

/// One target of an entry host.
struct PooledTarget {
    std::string id;
    std::string service;
    std::string dataCentre;
    Endpoint endpoint;
    /// Number of the id, as the carrier writes it before packets.
    std::uint64_t number = 0;
    Cookie cookie = 0;
    std::uint32_t slots = 1;
    schema::TargetPhase phase = schema::TARGET_READY;
    bool silent = false;
    /// Another target has the same cookie and came first; this one gets no flows until that one is gone.
    bool cookieTaken = false;
    std::uint64_t startTimeMs = 0;
    TimePoint slowStartUntil;
    TimePoint goneSince;
    /// As seen by this host, and reported by others.
    ObservedLoad ownLoad;
    ObservedLoad reportedLoad;
    TimePoint lastResponse;
    /// A client repeated a packet after the last answer.
    bool suspected = false;
    bool probePending = false;
    TimePoint nextProbe;
    std::uint32_t failedProbes = 0;
    /// Tests show that it cannot be reached from this host.
    bool unreachable = false;
    /// Hosts of the own data centre whose tests show the same.
    std::uint32_t unreachableReports = 0;
    /// No new flows before this time, because first packets got no answer.
    TimePoint avoidUntil;
    std::uint32_t avoidCount = 0;

    bool takesNewFlows() const { return phase == schema::TARGET_READY && !cookieTaken; }
};

/// All targets by id and by cookie. Pointers stay valid until purgeGone().
class TargetPool {
public:
    explicit TargetPool(TargetNumberFunction targetNumberOf)
        : m_targetNumberOf(targetNumberOf)
    {
    }

    /// Takes over a change of the registry.
    void update(const RegisteredTarget& target, TimePoint now);

    /// @return the target with a cookie, or null.
    PooledTarget* findByCookie(Cookie cookie);

    /// @return targets of a service, or an empty list.
    const std::vector<PooledTarget*>& targetsOf(const std::string& service);

    /// Forgets targets that have been gone for a time, in which all flows to them have ended. Pointers to others stay
    /// valid.
    void purgeGone(Duration after, TimePoint now);

    /// Replaces the load that another host reported.
    /// @param isLocal the host is in the own data centre, so that targets which it cannot reach matter here.
    void setReport(const schema::TargetLoadReport& report, bool isLocal, TimePoint now);

    /// Drops reports of hosts that have stopped reporting.
    void expireReports(TimePoint now);

    /// @return own load of all targets with any.
    schema::TargetLoadReport ownReport() const;

    const std::map<std::string, std::unique_ptr<PooledTarget>, std::less<>>& all() const { return m_targets; }

private:
    struct Report {
        TimePoint validUntil;
        std::uint64_t sequence = 0;
        std::vector<std::pair<Cookie, ObservedLoad>> loads;
        std::vector<Cookie> unreachable;
    };

    /// Decides which target holds each cookie, once after any number of updates.
    void resolveCookieConflicts();
    void applyReport(const Report& report, int sign);

    TargetNumberFunction m_targetNumberOf;
    std::map<std::string, std::unique_ptr<PooledTarget>, std::less<>> m_targets;
    std::unordered_map<Cookie, PooledTarget*> m_byCookie;
    bool m_cookiesStale = false;
    std::unordered_map<std::string, std::vector<PooledTarget*>> m_byService;
    std::map<std::string, Report> m_reports;
};

/// @return the cookie of a target, never zero: the low half of its number if the number has no other half, else a hash.
Cookie makeCookie(std::uint64_t targetNumber);

}
