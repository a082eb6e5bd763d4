#include "bergamotroute/entry_host.h"

#include "entry/entry_host_core.h"

namespace bergamotroute {

class EntryHost::Implementation : public EntryHostCore {
public:
    using EntryHostCore::EntryHostCore;
};

EntryHost::EntryHost(EntryHostOptions options, EntryHostSink& sink, TimePoint now)
    : m_implementation(std::make_unique<Implementation>(std::move(options), sink, now))
{
}

EntryHost::~EntryHost() = default;

ResultCode EntryHost::handlePacket(std::span<const std::byte> packet, TimePoint now)
{
    return m_implementation->steering().handlePacket(packet, now);
}

std::size_t EntryHost::handlePackets(std::span<const std::span<const std::byte>> packets, TimePoint now)
{
    return m_implementation->steering().handlePackets(packets, now);
}

ResultCode EntryHost::handleRelayedPacket(
    HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> packet, TimePoint now)
{
    return m_implementation->handleRelayedPacket(from, kind, target, packet, now);
}

void EntryHost::handleMessage(const schema::PeerMessage& message, TimePoint now)
{
    m_implementation->handleMessage(message, now);
}

schema::AnnouncementResult EntryHost::handleAnnouncement(
    const schema::Announcement& announcement, const IpAddress& source, TimePoint now)
{
    return m_implementation->handleAnnouncement(announcement, source, now);
}

void EntryHost::handleHealthResult(TargetId target, bool healthy, TimePoint now)
{
    m_implementation->targets().handleHealthResult(target, healthy, now);
}

void EntryHost::handleLoadReport(TargetId target, const schema::LoadReport& report, TimePoint now)
{
    m_implementation->targets().handleLoadReport(target, report, now);
}

ResultCode EntryHost::handleConfiguration(const schema::Configuration& configuration, TimePoint now)
{
    return m_implementation->handleConfiguration(configuration, now);
}

void EntryHost::advance(TimePoint now) { m_implementation->advance(now); }

TimePoint EntryHost::nextDeadline() const { return m_implementation->nextDeadline(); }

void EntryHost::leave(TimePoint now) { m_implementation->leave(now); }

bool EntryHost::hasLeft() const { return m_implementation->hasLeft(); }

const schema::Configuration& EntryHost::configuration() const { return m_implementation->configuration(); }

HostIndex EntryHost::index() const { return m_implementation->index(); }

schema::EntryHostState EntryHost::dump(TimePoint now) const { return m_implementation->dump(now); }

}
