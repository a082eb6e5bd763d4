#include "properties.h"

#include "mutation.h"

#include "bergamotroute/configuration_machine.h"
#include "bergamotroute/entry_host.h"
#include "bergamotroute/packet_builder.h"
#include "bergamotroute/quorum_log.h"

namespace bergamotroute::properties {

namespace {

    class CountingSink final : public EntryHostSink {
    public:
        void forwardPacket(const Endpoint&, std::span<const std::byte>) override { ++forwarded; }
        void relayPacket(HostIndex, RelayKind, TargetId, std::span<const std::byte>) override { }
        void sendToCaller(std::span<const std::byte>) override { }
        void sendMessage(HostIndex, const schema::PeerMessage&) override { }
        void startHealthCheck(TargetId, std::string_view, std::string_view) override { }
        void logEvent(ResultCode, std::string_view) override { }

        int forwarded = 0;
    };

    EntryHostOptions hostOptions()
    {
        EntryHostOptions options;
        options.host = "e1";
        options.dataCentre = "dc1";
        options.peers = { { "e1", "dc1" }, { "e2", "dc1" }, { "e3", "dc2" } };
        options.bucketsPerService = 64;
        options.flowCacheEntries = 1024;
        return options;
    }

    schema::Configuration configuration()
    {
        schema::Configuration result;
        result.set_revision(1);
        result.set_flow_hash_key(1);
        schema::Service* service = result.add_services();
        service->set_name("ordering");
        service->set_address("10.0.0.1");
        service->add_ports(443);
        service->set_protocol(schema::TCP);
        service->add_allowed_networks("10.9.0.0/16");
        return result;
    }

    schema::PeerMessage validMessage()
    {
        schema::PeerMessage message;
        message.set_from("e2");
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            message.mutable_heartbeat()->set_host("e2");
            message.mutable_heartbeat()->add_heard(*rc::gen::arbitrary<std::uint32_t>());
            message.mutable_heartbeat()->set_incarnation(*rc::gen::arbitrary<std::uint64_t>());
            message.mutable_heartbeat()->set_state(schema::MEMBER_READY);
            break;
        case 1: {
            schema::TableUpdate* update = message.mutable_table_update();
            update->set_service_id(serviceId("ordering"));
            update->set_version(*rc::gen::inRange<std::uint64_t>(0, 5));
            update->add_target_ids(*rc::gen::arbitrary<std::uint32_t>());
            update->add_bucket_gaps(*rc::gen::arbitrary<std::uint32_t>());
            update->add_base_index(*rc::gen::inRange<std::uint32_t>(0, 4));
            break;
        }
        case 2: {
            schema::FlowRecord* record = message.mutable_flow_records()->add_records();
            record->set_flow(*rc::gen::arbitrary<std::uint64_t>());
            record->set_target(*rc::gen::arbitrary<std::uint32_t>());
            record->set_service_id(serviceId("ordering"));
            break;
        }
        default: {
            schema::TargetEntry* entry = message.mutable_target_update()->add_targets();
            entry->set_target_id(*rc::gen::arbitrary<std::uint32_t>());
            entry->mutable_announcement()->set_service("ordering");
            entry->mutable_announcement()->set_address(anyAscii("10.9.0.1"));
            entry->set_lease_ms(*rc::gen::arbitrary<std::uint32_t>());
        }
        }
        return message;
    }

    /// Guards against a crash of the daemon on any datagram, and against a packet that is both accepted and rejected.
    bool checkHostInput()
    {
        return rc::check("an entry host that receives arbitrary packets, relayed packets and messages keeps its "
                         "configuration revision",
            [] {
                CountingSink sink;
                TimePoint now { Duration(1'000'000) };
                EntryHost host(hostOptions(), sink, now);
                RC_ASSERT(host.handleConfiguration(configuration(), now) == ResultCode::Ok);
                std::error_code error;
                const FlowKey key { IpAddress::parse("100.64.0.1", error), IpAddress::parse("10.0.0.1", error), 1024,
                    443 };
                const std::vector<std::byte> syn = buildTcpPacket(key, { TcpSyn, 1, 0 });
                const std::string valid(reinterpret_cast<const char*>(syn.data()), syn.size());
                for (int step = *rc::gen::inRange(1, 20); step > 0; --step) {
                    now += Duration(*rc::gen::inRange(0, 1500));
                    host.advance(now);
                    const std::string packet = anyInput(valid);
                    host.handlePacket(asBytes(packet), now);
                    host.handleRelayedPacket(*rc::gen::arbitrary<HostIndex>(),
                        static_cast<RelayKind>(*rc::gen::inRange(0, 6)), *rc::gen::arbitrary<TargetId>(),
                        asBytes(packet), now);
                    schema::PeerMessage message;
                    if (message.ParseFromString(mutated(validMessage().SerializeAsString())))
                        host.handleMessage(message, now);
                }
                RC_ASSERT(host.configuration().revision() == 1U);
                RC_ASSERT(host.handleConfiguration(configuration(), now) == ResultCode::RevisionOlderRefused);
            });
    }

}

bool checkEntryHostInput() { return checkHostInput(); }

/// Guards against creating a target from an announcement whose address is invalid or outside the allowed networks.
bool checkAnnouncements()
{
    return rc::check(
        "an announcement for an unknown service, or with an invalid or disallowed address, is rejected", [] {
            CountingSink sink;
            const TimePoint now { Duration(1'000'000) };
            EntryHost host(hostOptions(), sink, now);
            host.handleConfiguration(configuration(), now);
            schema::Announcement announcement;
            announcement.set_service(*rc::gen::element<std::string>("ordering", "unknown", ""));
            announcement.set_address(anyAscii("10.9.0.1"));
            announcement.set_fou_port(*rc::gen::element<std::uint32_t>(0, 5555, 65535, 65536));
            announcement.set_slots(*rc::gen::element<std::uint32_t>(0, 2));
            announcement.set_lease_seconds(6);
            announcement.set_state(schema::READY);
            announcement.set_data_centre("dc1");
            std::error_code error;
            const IpAddress address = IpAddress::parse(announcement.address(), error);
            const bool isAddress = !error;
            const bool isAllowed = isAddress && IpNetwork::parse("10.9.0.0/16", error).contains(address);
            const IpAddress source = isAddress ? address : IpAddress::parse("10.9.0.1", error);
            const schema::AnnouncementResult result = host.handleAnnouncement(announcement, source, now);
            if (!isAllowed || announcement.service() != "ordering")
                RC_ASSERT(result.code() != 0U);
        });
}

/// Guards against a revision that decreases, and against a repeated command that is applied again or gets another
/// result.
bool checkCommands()
{
    return rc::check("revisions never decrease, and a repeated command returns its first result", [] {
        ConfigurationMachine machine;
        std::uint64_t index = 0;
        for (int step = *rc::gen::inRange(1, 30); step > 0; --step) {
            schema::LogEntry entry;
            entry.set_index(++index);
            entry.set_term(1);
            entry.set_time_ms(index);
            schema::Command* command = entry.mutable_command();
            command->set_request_id("r" + std::to_string(*rc::gen::inRange(0, 10)));
            command->set_expect_revision(*rc::gen::element<std::uint64_t>(0, machine.configuration().revision(), 1));
            schema::Service* service = command->add_changes()->mutable_add_service();
            service->set_name(anyAscii("ordering"));
            service->set_address(anyAscii("10.0.0.1"));
            service->add_ports(*rc::gen::element<std::uint32_t>(0, 443, 70'000));
            const std::uint64_t before = machine.configuration().revision();
            const schema::RememberedResult* known = machine.findResult(command->request_id());
            const bool wasKnown = known != nullptr;
            const schema::CommandResult first = wasKnown ? known->result() : schema::CommandResult();
            const schema::CommandResult result = machine.apply(entry);
            RC_ASSERT(machine.configuration().revision() >= before);
            if (wasKnown)
                RC_ASSERT(machine.configuration().revision() == before);
            if (wasKnown && result.code() != static_cast<std::uint32_t>(ResultCode::RequestIdReused))
                RC_ASSERT(result.SerializeAsString() == first.SerializeAsString());
            schema::Command repeated = *command;
            const schema::CommandResult* again = machine.findDuplicate(repeated);
            RC_ASSERT(again != nullptr);
            RC_ASSERT(again->outcome() == result.outcome());
        }
    });
}

}
