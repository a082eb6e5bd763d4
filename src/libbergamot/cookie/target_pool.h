#pragma once

/// @file
/// Targets as one entry host sees them: state from the registry, load observed from passing packets, load reported by
/// other entry hosts, and whether first packets are answered.

#include "bergamotroute/clock.h"
#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/target_registry.h"
#include "bergamotroute/types.h"
#include "capacity/capacity_estimate.h"
#include "cookie/stopped_data_centres.h"
#include "cookie/target_reachability.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

struct ObservedLoad {
    std::uint32_t openFlows = 0;
    /// Requests whose response has not begun.
    std::uint32_t requests = 0;
};

struct PooledTarget {
    std::string id;
    std::string service;
    std::string dataCentre;
    Endpoint endpoint;
    /// Number derived from the id, as the encapsulation puts it in front of packets.
    std::uint64_t number = 0;
    Cookie cookie = 0;
    std::uint32_t slots = 1;
    schema::TargetPhase phase = schema::TARGET_READY;
    bool silent = false;
    /// Another target has the same cookie and takes precedence; this one gets no flows until that one is gone.
    bool cookieTaken = false;
    /// The target belongs to this host's group; see TargetGroups.
    bool isInGroup = false;
    /// Operators have stopped the target's data centre; its open flows continue.
    bool dataCentreStopped = false;
    std::uint64_t startTimeMs = 0;
    TimePoint slowStartUntil;
    TimePoint goneSince;
    /// Load observed by this host, and load reported by other entry hosts.
    ObservedLoad ownLoad;
    ObservedLoad reportedLoad;
    /// Open flows that this host opened while the target was in slow start and that have sent further requests.
    std::uint32_t recurringFlows = 0;
    TargetReachability reachability;
    /// Avoided for new flows before this time, because first packets got no response.
    TimePoint avoidUntil;
    std::uint32_t avoidCount = 0;
    /// Avoided for new flows before this time, because other entry hosts may still take the target for gone.
    TimePoint restartKnownAt;
    /// Learned speed and limit; typical as long as nothing is learned.
    CapacityEstimate capacity;
    /// When a request to the target was last seen here or reported.
    TimePoint lastRequest;

    /// @return outstanding requests, own and reported.
    std::uint32_t requests() const { return ownLoad.requests + reportedLoad.requests; }
    /// @return true if the target is expected to refuse a further request.
    bool isAtLimit() const { return capacity.limit() && requests() >= *capacity.limit(); }

    bool takesNewFlows() const { return phase == schema::TARGET_READY && !cookieTaken && !dataCentreStopped; }

    /// @return true if the requests under way, own and reported, fill the target's slots.
    bool isFull() const { return requests() >= slots; }

    /// @return true if the requests that other hosts report fill the target's slots. Own requests that get no response
    /// pile up at a dead target, too.
    bool isReportedFull() const { return reportedLoad.requests >= slots; }
};

/// All targets by id and by cookie. Pointers stay valid until purgeGone().
class TargetPool {
public:
    explicit TargetPool(TargetNumberFunction targetNumberOf)
        : m_targetNumberOf(targetNumberOf)
    {
    }

    /// Applies a change of a target in the registry.
    void update(const RegisteredTarget& target, TimePoint now);

    /// @return the target with a cookie, or null.
    PooledTarget* findByCookie(Cookie cookie);

    /// Decides which target owns each cookie; does so once after any number of updates, when the result is needed.
    void resolveCookieConflicts() const;

    /// @return targets of a service, or an empty list.
    const std::vector<PooledTarget*>& targetsOf(const std::string& service) const;

    /// Removes targets that have been gone for the given time, within which all flows to them have ended. Pointers to
    /// other targets stay valid.
    void purgeGone(Duration after, TimePoint now);

    /// Replaces the load that another entry host reported.
    /// @param isLocal that host is in this host's data centre, so the targets that it cannot reach matter here.
    /// @return false if the report is older than the known one.
    bool setReport(const schema::TargetLoadReport& report, bool isLocal, TimePoint now);

    /// Drops reports of hosts that have stopped reporting.
    void expireReports(TimePoint now);

    /// @return the observed load of each target that has any, and the targets that this host cannot reach.
    schema::TargetLoadReport ownReport() const;

    /// Applies the list of stopped data centres unless a list of the same or a higher revision has been applied.
    /// @return true if it was applied.
    bool setStoppedDataCentres(const schema::StoppedDataCentres& list, TimePoint now);

    const StoppedDataCentreList& stoppedDataCentres() const { return m_stoppedDataCentres; }

    /// @return the time at which a data centre returned to service; nothing if this is not known or it is stopped now.
    std::optional<TimePoint> returnedAt(const std::string& dataCentre) const
    {
        return m_stoppedDataCentres.returnedAt(dataCentre);
    }

    /// @return open flows that this host observes to targets of stopped data centres.
    std::uint32_t flowsAtStopped() const;

    /// @return targets that get no new flows because their data centre is stopped.
    std::size_t stoppedTargetCount() const;

    const std::map<std::string, std::unique_ptr<PooledTarget>, std::less<>>& all() const { return m_targets; }

private:
    struct Report {
        TimePoint validUntil;
        std::uint64_t sequence = 0;
        std::vector<std::pair<Cookie, ObservedLoad>> loads;
        std::vector<Cookie> unreachable;
    };

    /// @param sign 1 adds a report, -1 takes it back.
    void applyReport(const Report& report, int sign, TimePoint now);

    TargetNumberFunction m_targetNumberOf;
    std::map<std::string, std::unique_ptr<PooledTarget>, std::less<>> m_targets;
    mutable std::unordered_map<Cookie, PooledTarget*> m_byCookie;
    mutable bool m_cookiesStale = false;
    std::unordered_map<std::string, std::vector<PooledTarget*>> m_byService;
    std::map<std::string, Report> m_reports;
    StoppedDataCentreList m_stoppedDataCentres;
};

/// @return the cookie of a target, never zero: its number if that fits into 32 bits, otherwise a hash of the number.
Cookie makeCookie(std::uint64_t targetNumber);

}
