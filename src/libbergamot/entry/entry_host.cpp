#include "bergamotroute/entry_host.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    struct KnownTarget {
        schema::Announcement announcement;
        Endpoint endpoint;
        TimePoint leaseEnd;
    };

    std::vector<PeerConfig> sortedPeers(std::vector<PeerConfig> peers)
    {
        std::sort(peers.begin(), peers.end(), [](const PeerConfig& a, const PeerConfig& b) { return a.host < b.host; });
        return peers;
    }

}

/// First version of the composition: targets by rendezvous hashing, announcements passed on to all peers.
class EntryHost::Implementation {
public:
    Implementation(EntryHostOptions entryOptions, EntryHostSink& entrySink)
        : options(std::move(entryOptions))
        , sink(entrySink)
    {
        options.peers = sortedPeers(options.peers);
        const auto self = std::find_if(options.peers.begin(), options.peers.end(),
            [this](const PeerConfig& peer) { return peer.host == options.host; });
        selfIndex = self == options.peers.end() ? noHost : static_cast<HostIndex>(self - options.peers.begin());
    }

    const schema::Service* serviceOf(const FlowKey& flow) const
    {
        for (const schema::Service& service : configuration.services()) {
            std::error_code error;
            const bool addressMatches = IpAddress::parse(service.address(), error) == flow.destination;
            const bool protocolMatches = static_cast<int>(service.protocol()) == static_cast<int>(flow.protocol);
            const auto& ports = service.ports();
            if (addressMatches && protocolMatches
                && std::find(ports.begin(), ports.end(), flow.destinationPort) != ports.end())
                return &service;
        }
        return nullptr;
    }

    const KnownTarget* select(const std::string& service, std::uint64_t hash, TimePoint now) const
    {
        const KnownTarget* best = nullptr;
        std::uint64_t bestScore = 0;
        for (const auto& [id, target] : targets) {
            const bool usable = target.announcement.service() == service && target.announcement.state() == schema::READY
                && target.leaseEnd > now;
            const std::uint64_t score = XXH3_64bits_withSeed(&id, sizeof(id), hash);
            if (!usable || (best != nullptr && score <= bestScore))
                continue;
            best = &target;
            bestScore = score;
        }
        return best;
    }

    void store(const schema::Announcement& announcement, TimePoint now)
    {
        std::error_code error;
        KnownTarget target { announcement,
            { IpAddress::parse(announcement.address(), error), static_cast<std::uint16_t>(announcement.fou_port()) },
            now + std::chrono::seconds(announcement.lease_seconds()) };
        targets[targetId(announcement.service(), target.endpoint.address)] = target;
    }

    EntryHostOptions options;
    EntryHostSink& sink;
    HostIndex selfIndex = noHost;
    schema::Configuration configuration;
    std::map<TargetId, KnownTarget> targets;
    bool left = false;
};

EntryHost::EntryHost(EntryHostOptions options, EntryHostSink& sink, TimePoint)
    : m_implementation(std::make_unique<Implementation>(std::move(options), sink))
{
}

EntryHost::~EntryHost() = default;

ResultCode EntryHost::handlePacket(std::span<const std::byte> packet, TimePoint now)
{
    std::error_code error;
    const PacketView view = parsePacket(packet, error);
    if (error)
        return static_cast<ResultCode>(error.value());
    const schema::Service* service = m_implementation->serviceOf(view.flow);
    if (service == nullptr)
        return ResultCode::PacketUnknownService;
    const std::uint64_t hash = flowHash(view.flow, m_implementation->configuration.flow_hash_key());
    const KnownTarget* target = m_implementation->select(service->name(), hash, now);
    if (target == nullptr)
        return ResultCode::NotReady;
    m_implementation->sink.forwardPacket(target->endpoint, packet);
    return ResultCode::Ok;
}

ResultCode EntryHost::handleRelayedPacket(
    HostIndex, RelayKind, TargetId, std::span<const std::byte> packet, TimePoint now)
{
    return handlePacket(packet, now);
}

void EntryHost::handleMessage(const schema::PeerMessage& message, TimePoint now)
{
    for (const schema::TargetEntry& entry : message.target_update().targets())
        m_implementation->store(entry.announcement(), now);
}

schema::AnnouncementResult EntryHost::handleAnnouncement(
    const schema::Announcement& announcement, const IpAddress&, TimePoint now)
{
    m_implementation->store(announcement, now);
    schema::PeerMessage message;
    message.set_from(m_implementation->options.host);
    *message.mutable_target_update()->add_targets()->mutable_announcement() = announcement;
    for (std::size_t peer = 0; peer < m_implementation->options.peers.size(); ++peer) {
        if (peer != m_implementation->selfIndex)
            m_implementation->sink.sendMessage(static_cast<HostIndex>(peer), message);
    }
    schema::AnnouncementResult result;
    result.set_lease_seconds(announcement.lease_seconds());
    return result;
}

void EntryHost::handleHealthResult(TargetId, bool, TimePoint) { }

void EntryHost::handleLoadReport(TargetId, const schema::LoadReport&, TimePoint) { }

ResultCode EntryHost::handleConfiguration(const schema::Configuration& configuration, TimePoint)
{
    if (configuration.revision() <= m_implementation->configuration.revision())
        return ResultCode::RevisionOlderRefused;
    m_implementation->configuration = configuration;
    return ResultCode::Ok;
}

void EntryHost::advance(TimePoint) { }

TimePoint EntryHost::nextDeadline() const { return noDeadline; }

void EntryHost::leave(TimePoint) { m_implementation->left = true; }

bool EntryHost::hasLeft() const { return m_implementation->left; }

const schema::Configuration& EntryHost::configuration() const { return m_implementation->configuration; }

HostIndex EntryHost::index() const { return m_implementation->selfIndex; }

schema::EntryHostState EntryHost::dump(TimePoint) const
{
    schema::EntryHostState state;
    state.set_host(m_implementation->options.host);
    state.set_data_centre(m_implementation->options.dataCentre);
    state.set_configuration_revision(m_implementation->configuration.revision());
    return state;
}

}
