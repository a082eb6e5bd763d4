#include "bergamotroute/target_manager.h"

#include "bergamotroute/entry_host.h"
#include "targets/health_monitor.h"
#include "targets/load_estimator.h"
#include "targets/new_flow_counter.h"
#include "targets/share_calculator.h"
#include "targets/table_planner.h"
#include "targets/target_state.h"
#include "targets/target_store.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// A heartbeat carries load reports of at most this many targets; if there are more, heartbeats carry them in
    /// rotation.
    constexpr std::size_t maxLoadsPerHeartbeat = 3;
    /// Number of heartbeats in which this host sends the load reports of all its reported targets once, if
    /// maxLoadsPerHeartbeat allows it.
    constexpr std::size_t heartbeatsPerLoadRound = 4;
    /// Time for which the digest of another host must differ before targets are sent again. A shorter difference may be
    /// due to an update that is still on its way.
    constexpr Duration digestGrace { 3'000 };
    constexpr Duration resendInterval { 10'000 };
    /// A target that is in a bucket table but unknown to this host counts as gone only after this time, because its
    /// update may have been lost.
    constexpr Duration unknownGrace { 30'000 };

}

/// Target manager that combines the target store, the health monitor, the load estimator, the counter of new flows, the
/// share calculator and the table planners.
class DefaultTargetManager final : public TargetManager {
public:
    explicit DefaultTargetManager(const EntryHostOptions& options)
        : m_host(options.host)
        , m_dataCentre(options.dataCentre)
        , m_store(options.host, options.quarantine)
        , m_health(options.healthInterval)
        , m_shares(m_store, m_health, m_load, m_newFlows, options.ramp)
    {
    }

    schema::AnnouncementResult handleAnnouncement(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now) override
    {
        schema::AnnouncementResult result = m_store.announce(announcement, source, now);
        refresh(now);
        return result;
    }

    void handleUpdate(const schema::TargetUpdate& update, TimePoint now) override
    {
        for (const schema::TargetEntry& entry : update.targets())
            m_store.merge(entry, now);
        refresh(now);
    }

    void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now) override
    {
        for (const TargetId target : heartbeat.renewed_targets())
            m_store.renew(target, now);
        for (const schema::TargetStatus& status : heartbeat.targets()) {
            m_health.handleStatus(from, status.target_id(), status.healthy(), now);
            if (status.has_load() && m_store.records().contains(status.target_id()))
                m_load.handleReport(status.target_id(), status.load(), now);
        }
        compareDigest(from, heartbeat.targets_digest(), now);
        refresh(now);
    }

    void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now) override
    {
        for (const TargetId target : m_store.takeRenewals())
            heartbeat.add_renewed_targets(target);
        for (const schema::TargetStatus& status : m_health.takeStatuses())
            *heartbeat.add_targets() = status;
        fillLoadReports(heartbeat, now);
        heartbeat.set_targets_digest(m_store.digest());
    }

    std::optional<schema::TargetUpdate> takeUpdate(TimePoint now) override
    {
        schema::TargetUpdate update;
        for (schema::TargetEntry& entry : m_store.takeDueEntries(now))
            *update.add_targets() = std::move(entry);
        if (update.targets().empty())
            return std::nullopt;
        return update;
    }

    schema::TargetUpdate fullUpdate(TimePoint now) const override
    {
        schema::TargetUpdate update;
        for (const auto& [id, record] : m_store.records())
            *update.add_targets() = m_store.entryOf(record, now);
        return update;
    }

    void handleHealthResult(TargetId target, bool healthy, TimePoint now) override
    {
        const auto found = m_store.records().find(target);
        if (found == m_store.records().end() || found->second.announcement.health_url().empty())
            return;
        m_health.handleResult(target, healthy, now);
        refresh(now);
    }

    void handleLoadReport(TargetId target, const schema::LoadReport& report, TimePoint now) override
    {
        if (!m_store.records().contains(target) || !m_load.handleReport(target, report, now))
            return;
        m_loadsToSend[target] = true;
        refresh(now);
    }

    void handleConfiguration(const schema::Configuration& configuration, TimePoint now) override
    {
        m_store.configure(configuration, now);
        refresh(now);
    }

    void handleView(const MembershipView& view, TimePoint now) override
    {
        m_health.handleView(view);
        std::erase_if(m_digestDiffersSince, [&view](const auto& item) {
            const auto isSame = [&item](const MemberView& member) {
                return member.index == item.first && member.state == schema::MEMBER_READY;
            };
            return std::none_of(view.members.begin(), view.members.end(), isSame);
        });
        refresh(now);
    }

    void countFirstPacket(TargetId target, TimePoint now) override { m_newFlows.count(target, now); }

    std::vector<HealthCheckRequest> advance(TimePoint now) override
    {
        refresh(now);
        std::vector<HealthCheckRequest> requests;
        for (const TargetId id : m_health.takeDueTargets(now)) {
            const schema::Announcement& announcement = m_store.records().at(id).announcement;
            if (!announcement.health_url().empty() || !announcement.load_url().empty())
                requests.push_back({ id, announcement.health_url(), announcement.load_url() });
        }
        return requests;
    }

    TimePoint nextDeadline() const override
    {
        return std::min(m_store.nextDeadline(m_refreshedAt), m_health.nextDeadline());
    }

    const TargetInfo* find(TargetId target) const override
    {
        const auto found = m_store.records().find(target);
        return found == m_store.records().end() ? nullptr : &found->second.info;
    }

    TargetId selectLocal(ServiceId service, std::uint64_t flow) const override;

    std::optional<BucketTable> planTable(
        ServiceId service, const BucketTable* current, std::uint32_t bucketCount, TimePoint now) override
    {
        refresh(now);
        const auto [planner, isNew] = m_planners.try_emplace(service, m_host);
        const auto isGone = [this, now](TargetId target) { return isGoneOrUnknown(target, now); };
        return planner->second.plan(service, current, bucketCount, m_shares.shares(service, now), isGone, now);
    }

    void dump(schema::EntryHostState& state, TimePoint now) const override;

private:
    void refresh(TimePoint now);
    void removeExpired();
    bool isGoneOrUnknown(TargetId target, TimePoint now);
    void compareDigest(HostIndex from, std::uint32_t digest, TimePoint now);
    void fillLoadReports(schema::Heartbeat& heartbeat, TimePoint now);

    std::string m_host;
    std::string m_dataCentre;
    TargetStore m_store;
    HealthMonitor m_health;
    LoadEstimator m_load;
    NewFlowCounter m_newFlows;
    ShareCalculator m_shares;
    std::map<ServiceId, TablePlanner> m_planners;
    std::map<TargetId, bool> m_loadsToSend;
    TargetId m_lastLoadSent = noTarget;
    std::map<HostIndex, TimePoint> m_digestDiffersSince;
    TimePoint m_nextResend = TimePoint::min();
    std::map<TargetId, TimePoint> m_unknownSince;
    TimePoint m_refreshedAt;
};

void DefaultTargetManager::refresh(TimePoint now)
{
    m_refreshedAt = now;
    std::map<ServiceId, std::vector<const TargetRecord*>> usableTargets;
    for (auto& [id, record] : m_store.records()) {
        m_health.addTarget(id, record.info.dataCentre, now);
        usableTargets.try_emplace(record.info.service);
    }
    for (auto& [service, targets] : usableTargets)
        targets = m_shares.usableTargets(service, now);
    for (auto& [id, record] : m_store.records()) {
        const auto& targets = usableTargets.at(record.info.service);
        record.info.acceptsNewFlows = std::find(targets.begin(), targets.end(), &record) != targets.end();
        record.info.gone = isTargetGone(record, m_store, m_load, m_newFlows, now);
        if (!record.info.gone)
            record.goneSince = noDeadline;
        else if (record.goneSince == noDeadline)
            record.goneSince = now;
    }
    m_store.expire(now);
    removeExpired();
}

void DefaultTargetManager::removeExpired()
{
    const auto isExpired = [this](TargetId id) { return !m_store.records().contains(id); };
    for (const TargetId id : m_health.targets()) {
        if (!isExpired(id))
            continue;
        m_health.removeTarget(id);
        m_load.removeTarget(id);
        m_newFlows.removeTarget(id);
        m_loadsToSend.erase(id);
    }
}

bool DefaultTargetManager::isGoneOrUnknown(TargetId target, TimePoint now)
{
    const auto found = m_store.records().find(target);
    if (found != m_store.records().end()) {
        m_unknownSince.erase(target);
        return found->second.info.gone;
    }
    return m_unknownSince.try_emplace(target, now).first->second + unknownGrace <= now;
}

void DefaultTargetManager::compareDigest(HostIndex from, std::uint32_t digest, TimePoint now)
{
    if (digest == m_store.digest()) {
        m_digestDiffersSince.erase(from);
        return;
    }
    const TimePoint since = m_digestDiffersSince.try_emplace(from, now).first->second;
    if (since + digestGrace > now || m_nextResend > now)
        return;
    m_store.resendDirect(now);
    m_nextResend = now + resendInterval;
}

void DefaultTargetManager::fillLoadReports(schema::Heartbeat& heartbeat, TimePoint now)
{
    std::erase_if(m_loadsToSend, [&](const auto& item) { return !m_health.isLoadReporter(item.first, now); });
    const std::size_t count
        = std::min(maxLoadsPerHeartbeat, (m_loadsToSend.size() + heartbeatsPerLoadRound - 1) / heartbeatsPerLoadRound);
    auto next = m_loadsToSend.upper_bound(m_lastLoadSent);
    for (std::size_t sent = 0, seen = 0; sent < count && seen < m_loadsToSend.size(); ++seen, ++next) {
        if (next == m_loadsToSend.end())
            next = m_loadsToSend.begin();
        const schema::LoadReport* report = m_load.latest(next->first);
        if (!next->second || report == nullptr)
            continue;
        schema::TargetStatus* status = heartbeat.add_targets();
        status->set_target_id(next->first);
        status->set_healthy(true);
        *status->mutable_load() = *report;
        next->second = false;
        m_lastLoadSent = next->first;
        ++sent;
    }
}

TargetId DefaultTargetManager::selectLocal(ServiceId service, std::uint64_t flow) const
{
    TargetId best = noTarget;
    double bestScore = 0;
    for (const TargetRecord* record : m_shares.usableTargets(service, m_refreshedAt)) {
        if (record->info.dataCentre != m_dataCentre)
            continue;
        const std::uint64_t hash = XXH3_64bits_withSeed(&record->info.id, sizeof(record->info.id), flow);
        const double uniform = (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
        // Weighted rendezvous hashing: the target with the greatest -weight / ln(uniform) wins.
        const double score = -capacityOf(*record) / std::log(uniform);
        if (best != noTarget && score <= bestScore)
            continue;
        best = record->info.id;
        bestScore = score;
    }
    return best;
}

void DefaultTargetManager::dump(schema::EntryHostState& state, TimePoint now) const
{
    std::map<ServiceId, TargetShares> shares;
    for (const auto& [id, record] : m_store.records()) {
        const auto [item, isNew] = shares.try_emplace(record.info.service);
        if (isNew)
            item->second = m_shares.shares(record.info.service, now);
        schema::TargetState* target = state.add_targets();
        describeTarget(*target, record, m_health.isHealthy(id, now), now);
        target->set_share(shareFraction(item->second, id));
        target->set_forwarded_first_packets(m_newFlows.total(id));
        if (const schema::LoadReport* report = m_load.latest(id)) {
            target->set_open_connections(report->open_connections());
            target->set_busy_slots(report->busy_slots());
        }
    }
}

std::unique_ptr<TargetManager> makeTargetManager(const EntryHostOptions& options)
{
    return std::make_unique<DefaultTargetManager>(options);
}

}
