#include "bergamotroute/entry_host.h"
#include "bergamotroute/target_manager.h"
#include "imbalance/balancing_policy.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace bergamotroute::bench {

namespace {

    constexpr std::size_t hostCount = 9;
    constexpr std::size_t dataCentreCount = 3;
    constexpr double heartbeatMs = 500;
    constexpr double renewalMs = 2'000;
    /// Time from a new table to its activation: table update and acknowledgements of all hosts.
    constexpr double activationMs = 600;
    constexpr double lagMs = 5'000;
    constexpr std::uint64_t wallOriginMs = 1'700'000'000'000;
    constexpr std::size_t lyingServer = 4;
    constexpr double understatedPart = 0.7;
    constexpr const char* serviceName = "ordering";

    TimePoint timeOf(double nowMs) { return TimePoint(Duration(1'000'000 + static_cast<std::int64_t>(nowMs))); }

    std::string addressOf(std::size_t server) { return "10.0.0." + std::to_string(server + 1); }

    std::string dataCentreOf(std::size_t index) { return "dc" + std::to_string(index % dataCentreCount); }

    struct PendingTable {
        double activateAt;
        BucketTable table;
    };

    class PlannerPolicy final : public BalancingPolicy {
    public:
        PlannerPolicy(ReportFault fault, std::uint64_t seed);

        void advance(const std::vector<BackendModel>& servers, double nowMs) override;
        std::size_t select(std::uint64_t flow) override;
        bool reroutesEstablished() const override { return false; }
        std::uint64_t tableChanges() const override { return m_planned ? m_planned->version : 0; }
        std::uint32_t movedBuckets() const override;

    private:
        void startHosts();
        void configure(const std::vector<BackendModel>& servers);
        void announce(const std::vector<BackendModel>& servers);
        void exchangeHeartbeats();
        void checkServers(const std::vector<BackendModel>& servers);
        std::optional<schema::LoadReport> reportOf(const BackendModel& server, std::size_t index) const;
        void planTable();
        std::size_t randomHost() { return m_random() % hostCount; }

        ReportFault m_fault;
        std::mt19937_64 m_random;
        std::vector<std::unique_ptr<TargetManager>> m_hosts;
        std::map<TargetId, std::size_t> m_indexOf;
        std::vector<std::uint32_t> m_weights;
        std::vector<double> m_nextAnnouncement;
        std::vector<bool> m_announcedDraining;
        std::optional<BucketTable> m_planned;
        std::deque<PendingTable> m_pending;
        BucketTable m_active;
        double m_now = 0;
        double m_nextHeartbeat = 0;
    };

    PlannerPolicy::PlannerPolicy(ReportFault fault, std::uint64_t seed)
        : m_fault(fault)
        , m_random(seed)
    {
        startHosts();
    }

    void PlannerPolicy::startHosts()
    {
        MembershipView view;
        view.hasQuorum = true;
        for (std::size_t i = 0; i < hostCount; ++i) {
            const std::string name = "host" + std::to_string(i);
            view.members.push_back({ static_cast<HostIndex>(i), name, dataCentreOf(i), 1, schema::MEMBER_READY });
        }
        for (std::size_t i = 0; i < hostCount; ++i) {
            EntryHostOptions options;
            options.host = view.members[i].host;
            options.dataCentre = view.members[i].dataCentre;
            m_hosts.push_back(makeTargetManager(options));
            view.self = static_cast<HostIndex>(i);
            m_hosts.back()->handleView(view, timeOf(0));
        }
    }

    void PlannerPolicy::configure(const std::vector<BackendModel>& servers)
    {
        std::vector<std::uint32_t> weights;
        weights.reserve(servers.size());
        for (const BackendModel& server : servers)
            weights.push_back(server.weightPercent);
        if (weights == m_weights)
            return;
        m_weights = weights;
        schema::Configuration configuration;
        schema::Service* service = configuration.add_services();
        service->set_name(serviceName);
        service->add_allowed_networks("10.0.0.0/8");
        for (std::size_t i = 0; i < servers.size(); ++i) {
            schema::BackendOverride* backend = configuration.add_backends();
            backend->set_service(serviceName);
            backend->set_address(addressOf(i));
            backend->set_weight_percent(servers[i].weightPercent);
        }
        for (const auto& host : m_hosts)
            host->handleConfiguration(configuration, timeOf(m_now));
    }

    void PlannerPolicy::announce(const std::vector<BackendModel>& servers)
    {
        m_nextAnnouncement.resize(servers.size(), 0);
        m_announcedDraining.resize(servers.size(), false);
        for (std::size_t i = 0; i < servers.size(); ++i) {
            const bool due = m_nextAnnouncement[i] <= m_now || m_announcedDraining[i] != servers[i].draining;
            if (!servers[i].alive || !due)
                continue;
            m_nextAnnouncement[i] = m_now + renewalMs;
            m_announcedDraining[i] = servers[i].draining;
            schema::Announcement announcement;
            announcement.set_service(serviceName);
            announcement.set_address(addressOf(i));
            announcement.set_fou_port(5555);
            announcement.set_slots(servers[i].slots());
            announcement.set_data_centre(dataCentreOf(i));
            announcement.set_state(servers[i].draining ? schema::DRAINING : schema::READY);
            announcement.set_lease_seconds(6);
            announcement.set_health_url("http://" + addressOf(i) + "/health");
            announcement.set_load_url("http://" + addressOf(i) + "/load");
            std::error_code error;
            const IpAddress source = IpAddress::parse(addressOf(i), error);
            m_indexOf[targetId(serviceName, source)] = i;
            m_hosts[randomHost()]->handleAnnouncement(announcement, source, timeOf(m_now));
        }
    }

    void PlannerPolicy::exchangeHeartbeats()
    {
        for (std::size_t from = 0; from < hostCount; ++from) {
            schema::Heartbeat heartbeat;
            m_hosts[from]->fillHeartbeat(heartbeat, timeOf(m_now));
            const auto update = m_hosts[from]->takeUpdate(timeOf(m_now));
            for (std::size_t to = 0; to < hostCount; ++to) {
                if (to == from)
                    continue;
                if (update)
                    m_hosts[to]->handleUpdate(*update, timeOf(m_now));
                m_hosts[to]->handleHeartbeat(static_cast<HostIndex>(from), heartbeat, timeOf(m_now));
            }
        }
    }

    std::optional<schema::LoadReport> PlannerPolicy::reportOf(const BackendModel& server, std::size_t index) const
    {
        if (!server.alive)
            return std::nullopt;
        const bool lags = m_fault == ReportFault::ThirdLags && index % 3 == 0;
        const LoadSnapshot snapshot = server.snapshot(m_now, lags ? lagMs : 0);
        double part = 1;
        if (index == lyingServer && m_fault == ReportFault::OneClaimsIdle)
            part = 0;
        if (index == lyingServer && m_fault == ReportFault::OneUnderstates)
            part = understatedPart;
        schema::LoadReport report;
        report.set_open_connections(static_cast<std::uint32_t>(snapshot.open * part));
        // Whole slots cannot be understated by 30%; the report does so in 30% of the seconds.
        const bool hidesSlots = part < 1 && static_cast<double>(static_cast<int>(m_now / 1000) % 10) >= part * 10;
        report.set_busy_slots(hidesSlots ? 0 : snapshot.busy);
        report.set_queued(hidesSlots ? 0 : snapshot.queued);
        report.set_time_ms(wallOriginMs + static_cast<std::uint64_t>(snapshot.timeMs));
        return report;
    }

    void PlannerPolicy::checkServers(const std::vector<BackendModel>& servers)
    {
        for (const auto& host : m_hosts) {
            for (const HealthCheckRequest& request : host->advance(timeOf(m_now))) {
                const std::size_t index = m_indexOf.at(request.target);
                host->handleHealthResult(request.target, servers[index].alive, timeOf(m_now));
                if (const auto report = reportOf(servers[index], index))
                    host->handleLoadReport(request.target, *report, timeOf(m_now));
            }
        }
    }

    void PlannerPolicy::planTable()
    {
        std::optional<BucketTable> next = m_hosts.front()->planTable(
            serviceId(serviceName), m_planned ? &*m_planned : nullptr, tableBuckets, timeOf(m_now));
        if (!next)
            return;
        m_planned = *next;
        m_pending.push_back({ m_now + activationMs, std::move(*next) });
    }

    void PlannerPolicy::advance(const std::vector<BackendModel>& servers, double nowMs)
    {
        m_now = nowMs;
        configure(servers);
        announce(servers);
        checkServers(servers);
        if (m_now >= m_nextHeartbeat) {
            m_nextHeartbeat += heartbeatMs;
            exchangeHeartbeats();
            planTable();
        }
        while (!m_pending.empty() && m_pending.front().activateAt <= m_now) {
            m_active = std::move(m_pending.front().table);
            m_pending.pop_front();
        }
    }

    std::size_t PlannerPolicy::select(std::uint64_t flow)
    {
        if (m_active.buckets.empty())
            return noBackend;
        const TargetId target = m_active.buckets[flow % m_active.buckets.size()].current;
        m_hosts[randomHost()]->countFirstPacket(target, timeOf(m_now));
        return m_indexOf.at(target);
    }

    std::uint32_t PlannerPolicy::movedBuckets() const
    {
        std::uint32_t moved = 0;
        for (const Bucket& bucket : m_active.buckets)
            moved += bucket.moved ? 1 : 0;
        return moved;
    }

}

std::unique_ptr<BalancingPolicy> makePlannerPolicy(ReportFault fault, std::uint64_t seed)
{
    return std::make_unique<PlannerPolicy>(fault, seed);
}

}
