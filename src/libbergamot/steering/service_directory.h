#pragma once

/// @file
/// Lookup of the service of a packet by destination address, port and protocol.

#include "bergamotroute/clock.h"
#include "bergamotroute/packet.h"
#include "bergamotroute/types.h"
#include "steering/flow_cache.h"

#include "configuration.pb.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

inline constexpr ServiceIndex noService = 0xffff;

/// Settings of a service that flow steering uses.
struct ServiceInfo {
    ServiceId id = 0;
    std::string name;
    std::string address;
    TransportProtocol protocol = TransportProtocol::Tcp;
    Duration udpIdle { 30'000 };
    Duration probeIdle { 900'000 };
    bool limitsOpenFlows = false;
    /// False if the configuration in force does not contain the service.
    bool exists = false;
};

/// Services of the configuration in force. The index of a removed service is not reused for another service.
class ServiceDirectory {
public:
    void handleConfiguration(const schema::Configuration& configuration);

    /// @return index of the service with the destination of the flow, or noService.
    ServiceIndex find(const FlowKey& flow) const;

    /// @return index of the service, or noService if the configuration in force does not contain it.
    ServiceIndex findById(ServiceId id) const;

    const ServiceInfo& info(ServiceIndex serviceIndex) const { return m_services[serviceIndex]; }
    std::size_t size() const { return m_services.size(); }

private:
    struct Destination {
        IpAddress address;
        std::uint16_t port = 0;
        TransportProtocol protocol = TransportProtocol::Tcp;
        bool operator==(const Destination&) const = default;
    };
    struct DestinationHash {
        std::size_t operator()(const Destination& destination) const;
    };

    ServiceIndex indexFor(const schema::Service& service);

    std::vector<ServiceInfo> m_services;
    std::unordered_map<ServiceId, ServiceIndex> m_indexes;
    std::unordered_map<Destination, ServiceIndex, DestinationHash> m_destinations;
};

}
