#pragma once

/// @file
/// Finds the service of a packet by address, port and protocol.

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

/// What steering needs to know of a service.
struct ServiceInfo {
    ServiceId id = 0;
    std::string name;
    std::string address;
    TransportProtocol protocol = TransportProtocol::Tcp;
    Duration udpIdle { 30'000 };
    Duration probeIdle { 900'000 };
    bool limitsOpenFlows = false;
    /// False once the configuration no longer contains the service.
    bool exists = false;
};

/// Services of the configuration in force. Slots are never given to another service.
class ServiceDirectory {
public:
    void handleConfiguration(const schema::Configuration& configuration);

    /// @return slot of the service that owns the destination, or noService.
    ServiceIndex find(const FlowKey& flow) const;

    /// @return slot of a service that exists, or noService.
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
