#include "scenario/host_program.h"

namespace bergamotroute::scenario {

namespace {

    class EntryHostProgram final : public HostProgram {
    public:
        EntryHostProgram(const EntryHostOptions& options, EntryHostSink& sink, TimePoint now)
            : m_host(options, sink, now)
        {
        }

        ResultCode handlePacket(std::span<const std::byte> packet, TimePoint now) override
        {
            return m_host.handlePacket(packet, now);
        }

        ResultCode handleRelayedPacket(
            HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> packet, TimePoint now) override
        {
            return m_host.handleRelayedPacket(from, kind, target, packet, now);
        }

        void handleMessage(const schema::PeerMessage& message, TimePoint now) override
        {
            m_host.handleMessage(message, now);
        }

        schema::AnnouncementResult handleAnnouncement(
            const schema::Announcement& announcement, const IpAddress& source, TimePoint now) override
        {
            return m_host.handleAnnouncement(announcement, source, now);
        }

        void handleHealthResult(TargetId target, bool healthy, TimePoint now) override
        {
            m_host.handleHealthResult(target, healthy, now);
        }

        void handleLoadReport(TargetId target, const schema::LoadReport& report, TimePoint now) override
        {
            m_host.handleLoadReport(target, report, now);
        }

        ResultCode handleConfiguration(const schema::Configuration& configuration, TimePoint now) override
        {
            return m_host.handleConfiguration(configuration, now);
        }

        void advance(TimePoint now) override { m_host.advance(now); }
        TimePoint nextDeadline() const override { return m_host.nextDeadline(); }
        void leave(TimePoint now) override { m_host.leave(now); }
        bool hasLeft() const override { return m_host.hasLeft(); }
        std::uint64_t revision() const override { return m_host.configuration().revision(); }
        schema::EntryHostState dump(TimePoint now) const override { return m_host.dump(now); }

    private:
        EntryHost m_host;
    };

}

std::unique_ptr<HostProgram> makeEntryHost(const EntryHostOptions& options, EntryHostSink& sink, TimePoint now)
{
    return std::make_unique<EntryHostProgram>(options, sink, now);
}

}
