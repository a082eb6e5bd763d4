/// @file
/// Embeds EntryHost: one host, one backend server, one first packet.

#include "bergamotroute/entry_host.h"
#include "bergamotroute/packet_builder.h"

#include <iostream>

using namespace bergamotroute;

namespace {

/// Prints what the host wants to send. A real program sends it.
class PrintingSink final : public EntryHostSink {
public:
    void forwardPacket(const Endpoint& target, std::span<const std::byte> packet) override
    {
        std::cout << "forward " << packet.size() << " bytes to " << target.toString() << '\n';
        m_hasForwarded = true;
    }
    void relayPacket(HostIndex, RelayKind, TargetId, std::span<const std::byte>) override { }
    void sendToCaller(std::span<const std::byte>) override { }
    void sendMessage(HostIndex, const schema::PeerMessage&) override { }
    void startHealthCheck(TargetId, std::string_view, std::string_view) override { }
    void logEvent(ResultCode code, std::string_view detail) override
    {
        std::cout << "event " << static_cast<int>(code) << ": " << detail << '\n';
    }

    bool hasForwarded() const { return m_hasForwarded; }

private:
    bool m_hasForwarded = false;
};

schema::Configuration makeConfiguration()
{
    schema::Configuration configuration;
    configuration.set_revision(1);
    configuration.set_flow_hash_key(42);
    schema::Service* service = configuration.add_services();
    service->set_name("ordering");
    service->set_address("10.0.0.1");
    service->add_ports(443);
    service->set_protocol(schema::TCP);
    service->add_allowed_networks("10.9.0.0/16");
    return configuration;
}

schema::Announcement makeAnnouncement()
{
    schema::Announcement announcement;
    announcement.set_service("ordering");
    announcement.set_address("10.9.0.1");
    announcement.set_fou_port(5555);
    announcement.set_slots(2);
    announcement.set_data_centre("dc1");
    announcement.set_state(schema::READY);
    announcement.set_lease_seconds(60);
    return announcement;
}

}

int main()
{
    ManualClock clock;
    PrintingSink sink;
    EntryHostOptions options;
    options.host = "e1";
    options.dataCentre = "dc1";
    options.peers = { { "e1", "dc1" } };
    options.incarnation = 1;
    EntryHost host(options, sink, clock.now());
    host.handleConfiguration(makeConfiguration(), clock.now());

    std::error_code error;
    const IpAddress backend = IpAddress::parse("10.9.0.1", error);
    host.handleAnnouncement(makeAnnouncement(), backend, clock.now());

    // A host without a ready peer waits 3 s before it builds its tables.
    constexpr Duration startTime { 10'000 };
    constexpr Duration step { 10 };
    for (Duration elapsed { 0 }; elapsed < startTime; elapsed += step) {
        clock.advance(step);
        if (host.nextDeadline() <= clock.now())
            host.advance(clock.now());
    }

    const FlowKey flow { IpAddress::parse("100.64.0.1", error), IpAddress::parse("10.0.0.1", error), 50'000, 443 };
    const ResultCode code = host.handlePacket(buildTcpPacket(flow, { TcpSyn, 1, 0 }), clock.now());
    std::cout << "result " << static_cast<int>(code) << '\n';
    return sink.hasForwarded() ? 0 : 1;
}
