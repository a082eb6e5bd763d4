#include "steering/service_directory.h"

#include <cstring>

namespace bergamotroute {

std::size_t ServiceDirectory::DestinationHash::operator()(const Destination& destination) const
{
    constexpr std::uint64_t multiplier = 0x9e37'79b9'7f4a'7c15;
    constexpr unsigned protocolShift = 16;
    constexpr unsigned mixShift = 32;
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, destination.address.bytes.data(), sizeof(high));
    std::memcpy(&low, destination.address.bytes.data() + sizeof(high), sizeof(low));
    const std::uint64_t transport
        = destination.port | std::uint64_t { static_cast<std::uint8_t>(destination.protocol) } << protocolShift;
    const std::uint64_t mixed = (high ^ (low * multiplier) ^ transport) * multiplier;
    return mixed ^ mixed >> mixShift;
}

ServiceIndex ServiceDirectory::indexFor(const schema::Service& service)
{
    const ServiceId id = serviceId(service.name());
    const auto [position, isNew] = m_indexes.try_emplace(id, static_cast<ServiceIndex>(m_services.size()));
    if (isNew)
        m_services.emplace_back();
    return position->second;
}

void ServiceDirectory::handleConfiguration(const schema::Configuration& configuration)
{
    for (ServiceInfo& service : m_services)
        service.exists = false;
    m_destinations.clear();
    for (const schema::Service& service : configuration.services()) {
        std::error_code error;
        const IpAddress address = IpAddress::parse(service.address(), error);
        if (error)
            continue;
        const ServiceIndex serviceIndex = indexFor(service);
        ServiceInfo& info = m_services[serviceIndex];
        info.id = serviceId(service.name());
        info.name = service.name();
        info.address = service.address();
        info.protocol = service.protocol() == schema::UDP ? TransportProtocol::Udp : TransportProtocol::Tcp;
        if (service.udp_idle_seconds() > 0)
            info.udpIdle = std::chrono::seconds(service.udp_idle_seconds());
        if (service.probe_idle_seconds() > 0)
            info.probeIdle = std::chrono::seconds(service.probe_idle_seconds());
        info.limitsOpenFlows = service.max_open_flows() > 0;
        info.exists = true;
        for (const std::uint32_t port : service.ports())
            m_destinations[{ address, static_cast<std::uint16_t>(port), info.protocol }] = serviceIndex;
    }
}

ServiceIndex ServiceDirectory::find(const FlowKey& flow) const
{
    const auto found = m_destinations.find({ flow.destination, flow.destinationPort, flow.protocol });
    return found == m_destinations.end() ? noService : found->second;
}

ServiceIndex ServiceDirectory::findById(ServiceId id) const
{
    const auto found = m_indexes.find(id);
    if (found == m_indexes.end() || !m_services[found->second].exists)
        return noService;
    return found->second;
}

}
