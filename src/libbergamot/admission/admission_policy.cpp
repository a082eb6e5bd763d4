#include "admission/service_limit.h"
#include "bergamotroute/admission.h"
#include "bergamotroute/entry_host.h"

namespace bergamotroute {

namespace {

    /// Without a heartbeat or a change of view or configuration, admit() recomputes the shares at this interval.
    constexpr Duration updateInterval { 100 };

}

/// Admission policy that keeps one ServiceLimit for each configured service.
class DefaultAdmissionPolicy final : public AdmissionPolicy {
public:
    void handleConfiguration(const schema::Configuration& configuration, TimePoint now) override
    {
        std::map<ServiceId, ServiceLimit> limits;
        for (const schema::Service& service : configuration.services()) {
            const ServiceId id = serviceId(service.name());
            const auto existing = m_limits.find(id);
            ServiceLimit& limit = limits[id];
            if (existing != m_limits.end())
                limit = existing->second;
            else
                limit.handleView(m_view, m_view.readyHosts().size());
            limit.configure(service);
            limit.startHeartbeatInterval(now);
        }
        m_limits = std::move(limits);
        update(now);
    }

    void handleView(const MembershipView& view, TimePoint now) override
    {
        m_view = view;
        for (auto& [id, limit] : m_limits)
            limit.handleView(view, view.readyHosts().size());
        update(now);
    }

    void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now) override
    {
        for (const schema::ServiceDemand& demand : heartbeat.demand()) {
            const auto found = m_limits.find(demand.service_id());
            if (found != m_limits.end())
                found->second.handleDemand(from, demand);
        }
        update(now);
    }

    void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now) override
    {
        for (auto& [id, limit] : m_limits) {
            limit.startHeartbeatInterval(now);
            *heartbeat.add_demand() = limit.ownDemand(id, now);
        }
    }

    AdmissionVerdict admit(ServiceId service, TimePoint now) override
    {
        if (now >= m_nextUpdate)
            update(now);
        const auto found = m_limits.find(service);
        return found == m_limits.end() ? AdmissionVerdict::Drop : found->second.admit(now, m_view.hasQuorum);
    }

    bool isLimited(ServiceId service) const override
    {
        const auto found = m_limits.find(service);
        return found != m_limits.end() && found->second.isLimited();
    }

    void handleLimitedActive(ServiceId service, TimePoint since) override
    {
        const auto found = m_limits.find(service);
        if (found != m_limits.end())
            found->second.handleLimitedActive(since);
    }

    void countOpened(ServiceId service, TimePoint now) override
    {
        const auto found = m_limits.find(service);
        if (found != m_limits.end())
            found->second.countOpened(now);
    }

    void countEnded(ServiceId service, TimePoint) override
    {
        const auto found = m_limits.find(service);
        if (found != m_limits.end())
            found->second.countEnded();
    }

private:
    void update(TimePoint now)
    {
        for (auto& [id, limit] : m_limits)
            limit.update(now);
        m_nextUpdate = now + updateInterval;
    }

    MembershipView m_view;
    std::map<ServiceId, ServiceLimit> m_limits;
    TimePoint m_nextUpdate {};
};

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const EntryHostOptions&)
{
    return std::make_unique<DefaultAdmissionPolicy>();
}

}
