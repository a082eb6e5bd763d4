#include "bench/baseline_host.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <xxhash.h>

namespace bergamotroute::bench {

namespace {

    constexpr std::size_t tableBuckets = 1024;
    constexpr int failuresUntilUnhealthy = 3;

    struct BaselineTarget {
        schema::Announcement announcement;
        Endpoint endpoint;
        TimePoint leaseEnd;
        int failures = 0;
    };

    class BaselineHost final : public scenario::HostProgram {
    public:
        BaselineHost(BaselineKind kind, const EntryHostOptions& options, EntryHostSink& sink, TimePoint now)
            : m_kind(kind)
            , m_options(options)
            , m_sink(sink)
            , m_nextCheck(now)
        {
        }

        ResultCode handlePacket(std::span<const std::byte> packet, TimePoint) override
        {
            std::error_code error;
            const PacketView view = parsePacket(packet, error);
            const schema::Service* service = error ? nullptr : serviceOf(view.flow);
            if (service == nullptr)
                return ResultCode::PacketUnknownService;
            const TargetId target = choose(*service, view);
            if (target == noTarget)
                return ResultCode::NotReady;
            m_sink.forwardPacket(m_targets.at(target).endpoint, packet);
            return ResultCode::Ok;
        }

        ResultCode handleRelayedPacket(
            HostIndex, RelayKind, TargetId, std::span<const std::byte> packet, TimePoint now) override
        {
            return handlePacket(packet, now);
        }

        void handleMessage(const schema::PeerMessage& message, TimePoint now) override
        {
            for (const schema::TargetEntry& entry : message.target_update().targets())
                store(entry.announcement(), now);
        }

        schema::AnnouncementResult handleAnnouncement(
            const schema::Announcement& announcement, const IpAddress&, TimePoint now) override
        {
            store(announcement, now);
            schema::PeerMessage message;
            message.set_from(m_options.host);
            *message.mutable_target_update()->add_targets()->mutable_announcement() = announcement;
            for (std::size_t peer = 0; peer < m_options.peers.size(); ++peer) {
                if (m_options.peers[peer].host != m_options.host)
                    m_sink.sendMessage(static_cast<HostIndex>(peer), message);
            }
            return {};
        }

        void handleHealthResult(TargetId target, bool healthy, TimePoint) override
        {
            const auto entry = m_targets.find(target);
            if (entry == m_targets.end())
                return;
            entry->second.failures = healthy ? 0 : entry->second.failures + 1;
            rebuild();
        }

        void handleLoadReport(TargetId, const schema::LoadReport&, TimePoint) override { }

        ResultCode handleConfiguration(const schema::Configuration& configuration, TimePoint) override
        {
            if (configuration.revision() <= m_configuration.revision())
                return ResultCode::RevisionOlderRefused;
            m_configuration = configuration;
            rebuild();
            return ResultCode::Ok;
        }

        void advance(TimePoint now) override
        {
            if (now < m_nextCheck)
                return;
            m_nextCheck = now + m_options.healthInterval;
            m_now = now;
            for (const auto& [id, target] : m_targets)
                m_sink.startHealthCheck(id, target.announcement.health_url(), target.announcement.load_url());
            rebuild();
        }

        TimePoint nextDeadline() const override { return m_nextCheck; }
        void leave(TimePoint) override { m_hasLeft = true; }
        bool hasLeft() const override { return m_hasLeft; }
        std::uint64_t revision() const override { return m_configuration.revision(); }
        schema::EntryHostState dump(TimePoint) const override { return {}; }

    private:
        const schema::Service* serviceOf(const FlowKey& flow) const
        {
            for (const schema::Service& service : m_configuration.services()) {
                std::error_code error;
                if (IpAddress::parse(service.address(), error) == flow.destination)
                    return &service;
            }
            return nullptr;
        }

        TargetId choose(const schema::Service& service, const PacketView& view)
        {
            const std::uint64_t hash = flowHash(view.flow, m_configuration.flow_hash_key());
            const bool usesCache = m_kind == BaselineKind::StableTableWithCache;
            if (usesCache) {
                const auto cached = m_cache.find(hash);
                if (cached != m_cache.end() && !view.isFirstPacket() && m_targets.contains(cached->second))
                    return cached->second;
            }
            const auto entry = m_tables.find(service.name());
            if (entry == m_tables.end() || entry->second.empty())
                return noTarget;
            const TargetId target = entry->second[hash % entry->second.size()];
            if (usesCache)
                m_cache[hash] = target;
            return target;
        }

        void store(const schema::Announcement& announcement, TimePoint now)
        {
            std::error_code error;
            const IpAddress address = IpAddress::parse(announcement.address(), error);
            BaselineTarget& target = m_targets[targetId(announcement.service(), address)];
            target.announcement = announcement;
            target.endpoint = { address, static_cast<std::uint16_t>(announcement.fou_port()) };
            target.leaseEnd = now + std::chrono::seconds(announcement.lease_seconds());
            m_now = now;
            rebuild();
        }

        bool isStopped(const BaselineTarget& target, const schema::Service& service) const
        {
            const std::string& dataCentre = target.announcement.data_centre();
            for (const schema::DataCentre& entry : m_configuration.data_centres()) {
                if (entry.name() == dataCentre && entry.stopped())
                    return true;
            }
            const auto& allowed = service.data_centres();
            return !allowed.empty() && std::find(allowed.begin(), allowed.end(), dataCentre) == allowed.end();
        }

        std::uint32_t weight(const BaselineTarget& target) const
        {
            for (const schema::BackendOverride& entry : m_configuration.backends()) {
                const bool matches = entry.service() == target.announcement.service()
                    && entry.address() == target.announcement.address();
                if (matches)
                    return entry.state() == schema::BACKEND_READY ? entry.weight_percent() : 0;
            }
            return fullWeight;
        }

        /// Usable targets of a service with their weights.
        std::map<TargetId, std::uint32_t> usable(const schema::Service& service) const
        {
            std::map<TargetId, std::uint32_t> result;
            for (const auto& [id, target] : m_targets) {
                const bool isUsable = target.announcement.service() == service.name()
                    && target.announcement.state() == schema::READY && target.leaseEnd > m_now
                    && target.failures < failuresUntilUnhealthy && !isStopped(target, service) && weight(target) > 0;
                if (isUsable)
                    result[id] = weight(target);
            }
            return result;
        }

        void rebuild()
        {
            for (const schema::Service& service : m_configuration.services()) {
                const std::map<TargetId, std::uint32_t> targets = usable(service);
                if (targets == m_usable[service.name()])
                    continue;
                m_usable[service.name()] = targets;
                m_tables[service.name()] = m_kind == BaselineKind::Modulo ? moduloTable(targets) : stableTable(targets);
            }
        }

        static std::vector<TargetId> moduloTable(const std::map<TargetId, std::uint32_t>& targets)
        {
            std::vector<TargetId> table;
            table.reserve(targets.size());
            for (const auto& [id, weight] : targets)
                table.push_back(id);
            return table;
        }

        /// Weighted rendezvous hashing (Schindelhauer and Schomaker) of each bucket.
        static std::vector<TargetId> stableTable(const std::map<TargetId, std::uint32_t>& targets)
        {
            std::vector<TargetId> table;
            for (std::uint64_t bucket = 0; bucket < tableBuckets && !targets.empty(); ++bucket) {
                TargetId best = noTarget;
                double bestScore = -1;
                for (const auto& [id, weight] : targets) {
                    const std::uint64_t bits = XXH3_64bits_withSeed(&id, sizeof(id), bucket);
                    const double score = weight / -std::log((static_cast<double>(bits >> 11) + 0.5) * 0x1p-53);
                    if (score > bestScore)
                        best = id;
                    bestScore = std::max(score, bestScore);
                }
                table.push_back(best);
            }
            return table;
        }

        static constexpr std::uint32_t fullWeight = 100;

        BaselineKind m_kind;
        EntryHostOptions m_options;
        EntryHostSink& m_sink;
        schema::Configuration m_configuration;
        std::map<TargetId, BaselineTarget> m_targets;
        std::map<std::string, std::map<TargetId, std::uint32_t>> m_usable;
        std::map<std::string, std::vector<TargetId>> m_tables;
        std::unordered_map<std::uint64_t, TargetId> m_cache;
        TimePoint m_now {};
        TimePoint m_nextCheck;
        bool m_hasLeft = false;
    };

}

scenario::HostFactory baselineFactory(BaselineKind kind)
{
    return [kind](const EntryHostOptions& options, EntryHostSink& sink, TimePoint now) {
        return std::make_unique<BaselineHost>(kind, options, sink, now);
    };
}

const char* baselineName(BaselineKind kind)
{
    if (kind == BaselineKind::Modulo)
        return "modulo hashing";
    return kind == BaselineKind::StableTable ? "stable hash table" : "stable hash table with local flow cache";
}

}
