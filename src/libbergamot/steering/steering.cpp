#include "steering/steering.h"

#include <algorithm>
#include <array>

namespace bergamotroute {

Steering::Steering(const EntryHostOptions& options, EntryHostSink& sink, Membership& membership, TargetManager& targets,
    AdmissionPolicy& admission, FlowProber& prober, ControlSender& sender, TimePoint now)
    : m_state(options, sink, membership, targets, admission, prober, sender)
    , m_transfer(m_state, now)
    , m_hints(m_state, now)
    , m_distribution(m_state)
    , m_path(m_state, m_transfer, m_hints)
    , m_knownStates(options.peers.size(), schema::DEAD)
    , m_knownIncarnations(options.peers.size())
    , m_joinStart(now)
    , m_lastRelayReceived(now)
{
}

ResultCode Steering::parse(std::span<const std::byte> bytes, PacketView& view, SteeredPacket& packet) const
{
    std::error_code error;
    view = parsePacket(bytes, error);
    if (error)
        return static_cast<ResultCode>(error.value());
    packet.bytes = bytes;
    packet.view = &view;
    packet.serviceIndex = m_state.services.find(view.flow);
    if (packet.serviceIndex == noService)
        return ResultCode::PacketUnknownService;
    packet.flow = flowHash(view.flow, m_flowHashKey);
    packet.bucket = bucketOf(packet.flow, m_state.bucketCount());
    return ResultCode::Ok;
}

ResultCode Steering::handlePacket(std::span<const std::byte> bytes, TimePoint now)
{
    PacketView view;
    SteeredPacket packet;
    const ResultCode code = parse(bytes, view, packet);
    return code == ResultCode::Ok ? m_path.handleFabricPacket(packet, now) : code;
}

std::size_t Steering::handlePackets(std::span<const std::span<const std::byte>> packets, TimePoint now)
{
    // Prefetches the cache entries of a whole batch, because loading an entry from memory takes longer than selecting
    // the target.
    constexpr std::size_t batch = 64;
    std::array<PacketView, batch> views;
    std::array<SteeredPacket, batch> steered;
    std::array<ResultCode, batch> codes;
    std::size_t handled = 0;
    for (; !packets.empty(); packets = packets.subspan(std::min(batch, packets.size()))) {
        const std::size_t count = std::min(batch, packets.size());
        for (std::size_t i = 0; i < count; ++i) {
            steered[i] = {};
            codes[i] = parse(packets[i], views[i], steered[i]);
            if (codes[i] == ResultCode::Ok)
                m_state.cache.prefetch(steered[i].flow);
        }
        for (std::size_t i = 0; i < count; ++i) {
            if (codes[i] == ResultCode::Ok)
                codes[i] = m_path.handleFabricPacket(steered[i], now);
            handled += codes[i] == ResultCode::Ok ? 1 : 0;
        }
    }
    return handled;
}

ResultCode Steering::handleRelayedPacket(
    HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> bytes, TimePoint now)
{
    m_lastRelayReceived = now;
    PacketView view;
    SteeredPacket packet;
    const ResultCode code = parse(bytes, view, packet);
    if (code != ResultCode::Ok)
        return code;
    packet.from = from;
    packet.kind = kind;
    return m_path.handleRelayedPacket(packet, target, now);
}

void Steering::sendToTarget(std::uint64_t flow, std::span<const std::byte> bytes, TimePoint now)
{
    PacketView view;
    SteeredPacket packet;
    if (parse(bytes, view, packet) != ResultCode::Ok)
        return;
    const FlowEntry* entry = m_state.cache.find(flow, packet.serviceIndex);
    const TargetInfo* target = entry == nullptr ? nullptr : m_state.targets.find(entry->target);
    if (target == nullptr)
        return;
    m_state.admission.countEnded(target->service, now);
    m_state.sink.forwardPacket(target->endpoint, bytes);
    m_state.cache.erase(flow);
}

void Steering::handleMessage(HostIndex from, const schema::PeerMessage& message, TimePoint now)
{
    switch (message.body_case()) {
    case schema::PeerMessage::kTableUpdate:
        m_distribution.handleUpdate(from, message.table_update(), now);
        break;
    case schema::PeerMessage::kTableAcknowledgement:
        m_distribution.handleAcknowledgement(from, message.table_acknowledgement(), now);
        break;
    case schema::PeerMessage::kTableRequest:
        m_distribution.handleRequest(from, message.table_request(), now);
        break;
    case schema::PeerMessage::kBucketReport:
        m_distribution.handleReport(from, message.bucket_report());
        break;
    case schema::PeerMessage::kFlowRecords:
        m_transfer.handleRecords(from, message.flow_records(), now);
        break;
    case schema::PeerMessage::kFlowRecordsAcknowledgement:
        m_transfer.handleAcknowledgement(from, message.flow_records_acknowledgement());
        break;
    default:
        break;
    }
}

void Steering::handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now)
{
    if (m_knownIncarnations[from] != heartbeat.incarnation()) {
        m_knownIncarnations[from] = heartbeat.incarnation();
        m_distribution.forgetHost(from);
        m_transfer.resetFinished(from);
    }
    m_distribution.handleHeartbeat(from, heartbeat, now);
}

void Steering::fillHeartbeat(schema::Heartbeat& heartbeat) const { m_distribution.fillHeartbeat(heartbeat); }

void Steering::handleConfiguration(const schema::Configuration& configuration, TimePoint)
{
    m_flowHashKey = configuration.flow_hash_key();
    m_state.services.handleConfiguration(configuration);
    m_distribution.handleConfiguration();
}

void Steering::reportLimits(TimePoint now)
{
    for (ServiceTable& table : m_state.tables) {
        const bool inForce = table.limitedSince != 0 && table.activeVersion >= table.limitedSince;
        if (!inForce || table.limitedReported)
            continue;
        table.limitedReported = true;
        m_state.admission.handleLimitedActive(table.table.service, now);
    }
}

void Steering::sweepCache(TimePoint now)
{
    /// At ten calls per second, the whole cache is examined about once a minute.
    constexpr std::size_t slotsPerCall = 2048;
    m_state.cache.sweep(slotsPerCall, [&](FlowEntry& entry) { return isExpired(entry, now); });
}

bool Steering::isExpired(FlowEntry& entry, TimePoint now)
{
    constexpr std::int64_t ticksPerSecond = 10;
    constexpr std::int64_t closingTicks = 60 * ticksPerSecond;
    /// A backup does not see the packets of a UDP flow, so it keeps the record for several idle timeouts.
    constexpr std::int64_t udpKeepFactor = 10;
    constexpr std::int64_t tickMs = 100;
    const ServiceInfo& service = m_state.services.info(entry.service);
    const TargetInfo* target = m_state.targets.find(entry.target);
    const std::int64_t idle = std::int64_t { flowTick(now) } - entry.lastSeen;
    const bool isUdp = service.protocol == TransportProtocol::Udp;
    const bool isTargetGone = target == nullptr || target->gone;
    if (!service.exists || (isTargetGone && idle > closingTicks))
        return true;
    if (entry.has(FlowClosing) && idle > closingTicks)
        return true;
    if (isUdp && idle > service.udpIdle.count() / tickMs * udpKeepFactor)
        return true;
    const ServiceTable* table = m_state.tableOf(entry.service);
    if (table == nullptr || m_state.viewChanging || !entry.has(FlowRecorded) || !m_state.hasQuorum(now))
        return false;
    const BucketOwners& owners = table->owners[bucketOf(entry.flow, m_state.bucketCount())];
    const bool isHolder = owners.owner == m_state.self() || owners.backup == m_state.self();
    // A previous owner or backup does not see the further packets of the flow, so its entry stops being a record.
    if (!isHolder && idle > closingTicks) {
        entry.clear(FlowRecorded);
        m_state.cache.setPinned(entry, false);
    }
    return false;
}

void Steering::dump(schema::EntryHostState& state) const
{
    for (ServiceIndex serviceIndex = 0; serviceIndex < static_cast<ServiceIndex>(m_state.tables.size());
         ++serviceIndex) {
        const ServiceInfo& info = m_state.services.info(serviceIndex);
        if (!info.exists)
            continue;
        const ServiceTable& table = m_state.tables[serviceIndex];
        schema::ServiceState& service = *state.add_services();
        service.set_name(info.name);
        service.set_address(info.address);
        service.set_table_version(table.table.version);
        service.set_table_leader(table.table.leader);
        std::uint32_t moved = 0;
        for (const Bucket& bucket : table.table.buckets)
            moved += bucket.moved ? 1 : 0;
        service.set_moved_buckets(moved);
        service.set_settled_buckets(static_cast<std::uint32_t>(table.table.buckets.size()) - moved);
    }
    state.set_cached_flows(m_state.cache.size());
    state.set_pinned_flows(m_state.cache.pinned());
    state.set_flow_capacity(m_state.cache.capacity());
    const SteeringCounters& counters = m_state.counters;
    const std::pair<const char*, std::uint64_t> values[] = {
        { "control_bytes", m_state.sender.sentBytes() },
        { "divergent_flows", counters.divergent },
        { "dropped_packets", counters.dropped },
        { "first_packets", counters.firstPackets },
        { "forwarded_packets", counters.forwarded },
        { "refused_flows", counters.refused },
        { "relayed_packets", counters.relayed },
    };
    for (const auto& [name, value] : values) {
        schema::CounterState& counter = *state.add_counters();
        counter.set_name(name);
        counter.set_value(value);
    }
}

}
