#include "imbalance/balancing_policy.h"

#include <map>
#include <xxhash.h>

namespace bergamotroute::bench {

namespace {

    /// Time after which the baselines notice a dead server: three checks a second apart, as the planner's health
    /// checks.
    constexpr double deathDetectionMs = 3'000;

    /// What a baseline knows of one server.
    struct KnownServer {
        std::size_t index;
        std::uint32_t turns;
        bool operator==(const KnownServer&) const = default;
    };

    /// Rebuilds a mapping whenever the set of servers changes.
    class BaselinePolicy : public BalancingPolicy {
    public:
        void advance(const std::vector<BackendModel>& servers, double nowMs) override
        {
            std::vector<KnownServer> known;
            for (std::size_t i = 0; i < servers.size(); ++i) {
                if (!servers[i].alive)
                    m_deadSince.try_emplace(i, nowMs);
                const bool deathUnnoticed = !servers[i].alive && nowMs - m_deadSince[i] < deathDetectionMs;
                if (servers[i].takesNewFlows() || deathUnnoticed)
                    known.push_back({ i, servers[i].slots() * servers[i].weightPercent });
            }
            if (known == m_known)
                return;
            m_known = known;
            ++m_changes;
            rebuild(known);
        }

        bool reroutesEstablished() const override { return true; }
        std::uint64_t tableChanges() const override { return m_changes; }

    protected:
        virtual void rebuild(const std::vector<KnownServer>& servers) = 0;

    private:
        std::vector<KnownServer> m_known;
        std::map<std::size_t, double> m_deadSince;
        std::uint64_t m_changes = 0;
    };

    class ModuloPolicy final : public BaselinePolicy {
    public:
        std::size_t select(std::uint64_t flow) override
        {
            return m_servers.empty() ? noBackend : m_servers[flow % m_servers.size()].index;
        }

    protected:
        void rebuild(const std::vector<KnownServer>& servers) override { m_servers = servers; }

    private:
        std::vector<KnownServer> m_servers;
    };

    class StableTablePolicy final : public BaselinePolicy {
    public:
        std::size_t select(std::uint64_t flow) override
        {
            return m_table.empty() ? noBackend : m_table[flow % m_table.size()];
        }

    protected:
        void rebuild(const std::vector<KnownServer>& servers) override
        {
            m_table.assign(servers.empty() ? 0 : tableBuckets, noBackend);
            std::vector<std::uint32_t> next(servers.size(), 0);
            std::vector<double> credit(servers.size(), 0);
            std::uint32_t largest = 0;
            for (const KnownServer& server : servers)
                largest = std::max(largest, server.turns);
            std::size_t filled = 0;
            while (filled < m_table.size()) {
                for (std::size_t i = 0; i < servers.size() && filled < m_table.size(); ++i) {
                    // A server takes a turn in proportion to its weight.
                    credit[i] += static_cast<double>(servers[i].turns) / largest;
                    if (credit[i] < 1)
                        continue;
                    credit[i] -= 1;
                    m_table[nextFree(servers[i].index, next[i])] = servers[i].index;
                    ++filled;
                }
            }
        }

    private:
        /// Walks a permutation of the table. An odd step visits all entries because the table size is a power of two.
        std::size_t nextFree(std::size_t server, std::uint32_t& position) const
        {
            const std::uint64_t hash = XXH3_64bits(&server, sizeof(server));
            const std::uint64_t step = (hash >> 32) | 1;
            std::size_t bucket = 0;
            do
                bucket = (hash + position++ * step) % m_table.size();
            while (m_table[bucket] != noBackend);
            return bucket;
        }

        std::vector<std::size_t> m_table;
    };

}

std::unique_ptr<BalancingPolicy> makeModuloPolicy() { return std::make_unique<ModuloPolicy>(); }

std::unique_ptr<BalancingPolicy> makeStableTablePolicy() { return std::make_unique<StableTablePolicy>(); }

}
