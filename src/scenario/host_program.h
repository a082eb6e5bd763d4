#pragma once

/// @file
/// Interface of the entry host code that the runner drives: EntryHost itself, or a baseline of the flow experiment.

#include "bergamotroute/entry_host.h"

#include <functional>
#include <memory>

namespace bergamotroute::scenario {

/// Interface of EntryHost without its constructor, so that the flow experiment can substitute a baseline algorithm.
class HostProgram {
public:
    virtual ~HostProgram() = default;

    virtual ResultCode handlePacket(std::span<const std::byte> packet, TimePoint now) = 0;
    virtual ResultCode handleRelayedPacket(
        HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> packet, TimePoint now)
        = 0;
    virtual void handleMessage(const schema::PeerMessage& message, TimePoint now) = 0;
    virtual schema::AnnouncementResult handleAnnouncement(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now)
        = 0;
    virtual void handleHealthResult(TargetId target, bool healthy, TimePoint now) = 0;
    virtual void handleLoadReport(TargetId target, const schema::LoadReport& report, TimePoint now) = 0;
    virtual ResultCode handleConfiguration(const schema::Configuration& configuration, TimePoint now) = 0;
    virtual void advance(TimePoint now) = 0;
    virtual TimePoint nextDeadline() const = 0;
    virtual void leave(TimePoint now) = 0;
    virtual bool hasLeft() const = 0;
    virtual std::uint64_t revision() const = 0;
    virtual schema::EntryHostState dump(TimePoint now) const = 0;
};

using HostFactory
    = std::function<std::unique_ptr<HostProgram>(const EntryHostOptions& options, EntryHostSink& sink, TimePoint now)>;

/// Creates an EntryHost, the implementation used in production.
std::unique_ptr<HostProgram> makeEntryHost(const EntryHostOptions& options, EntryHostSink& sink, TimePoint now);

}
