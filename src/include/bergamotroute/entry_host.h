#pragma once

/// @file
/// Packet forwarding logic and protocols of an entry host, without I/O. Daemons, tests and benchmarks drive it.

#include "bergamotroute/clock.h"
#include "bergamotroute/packet.h"
#include "bergamotroute/result_code.h"
#include "bergamotroute/types.h"

#include "announcement.pb.h"
#include "configuration.pb.h"
#include "entry.pb.h"
#include "state.pb.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Why one entry host relays a caller's packet to another.
enum class RelayKind : std::uint8_t {
    /// The receiver owns the bucket and decides on the packet.
    ToOwner = 1,
    /// The receiver is the backup: it records the flow with the given target and forwards the packet.
    RecordAndForward = 2,
    /// The receiver owned the bucket in the previous view and decides if it has a record of the flow.
    ToPreviousOwner = 3,
    /// The sender has no tables yet; the receiver handles the packet as if the fabric had delivered it.
    NotReady = 4,
};

/// One entry host of the steering group, from the settings.
struct PeerConfig {
    std::string host;
    std::string dataCentre;
};

/// Fixed parameters of an entry host.
struct EntryHostOptions {
    std::string host;
    std::string dataCentre;
    /// All hosts of the steering group, this one included.
    std::vector<PeerConfig> peers;
    /// Start time with a random part, so that a restarted or replaced host is a new member.
    std::uint64_t incarnation = 0;
    /// Seed for jitter and for choices that need randomness.
    std::uint64_t seed = 0;
    std::uint32_t flowCacheEntries = 524'288;
    std::uint32_t bucketsPerService = 1024;
    Duration heartbeatInterval { 500 };
    Duration lease { 1500 };
    Duration deadAfter { 2000 };
    Duration healthInterval { 1000 };
    Duration ramp { 30'000 };
    Duration quarantine { 10'000 };
    std::uint32_t controlBytesPerSecond = 4096;
};

/// Carries out the actions of an entry host. Implementations must copy what they keep: spans are valid only during the
/// call.
class EntryHostSink {
public:
    virtual ~EntryHostSink() = default;

    /// Sends an unchanged inner packet to a backend server's decapsulation port.
    virtual void forwardPacket(const Endpoint& target, std::span<const std::byte> packet) = 0;

    /// Relays an unchanged inner packet to another entry host.
    /// @param target used for RelayKind::RecordAndForward only.
    virtual void relayPacket(HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet) = 0;

    /// Sends a packet that this host built (reset, probe) to a caller through the fabric.
    virtual void sendToCaller(std::span<const std::byte> packet) = 0;

    /// Sends a control message to another entry host; it may be lost.
    virtual void sendMessage(HostIndex peer, const schema::PeerMessage& message) = 0;

    /// Starts a health check and a load report request. The results are passed to EntryHost::handleHealthResult() and
    /// EntryHost::handleLoadReport().
    virtual void startHealthCheck(TargetId target, std::string_view healthUrl, std::string_view loadUrl) = 0;

    virtual void logEvent(ResultCode code, std::string_view detail) = 0;
};

/// An entry host: membership, targets, steering, admission, probing and the check of configuration revisions.
/// All calls come from one thread. Times passed in must not decrease.
class EntryHost {
public:
    /// @param sink must outlive the entry host.
    EntryHost(EntryHostOptions options, EntryHostSink& sink, TimePoint now);
    ~EntryHost();
    EntryHost(const EntryHost&) = delete;
    EntryHost& operator=(const EntryHost&) = delete;

    /// Handles an inner packet from the fabric.
    /// @return ResultCode::Ok, or why the packet was dropped.
    ResultCode handlePacket(std::span<const std::byte> packet, TimePoint now);

    /// Handles a batch of inner packets from the fabric; faster than handlePacket() for each of them.
    /// @return number of packets that were not dropped.
    std::size_t handlePackets(std::span<const std::span<const std::byte>> packets, TimePoint now);

    ResultCode handleRelayedPacket(
        HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> packet, TimePoint now);

    /// Handles a control message of another entry host.
    void handleMessage(const schema::PeerMessage& message, TimePoint now);

    /// Handles an announcement of a backend server.
    /// @param source IP address from which the announcement was received.
    /// @return result code and message for the backend server.
    schema::AnnouncementResult handleAnnouncement(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now);

    /// Handles the result of a health check that startHealthCheck() started.
    void handleHealthResult(TargetId target, bool healthy, TimePoint now);

    void handleLoadReport(TargetId target, const schema::LoadReport& report, TimePoint now);

    /// Applies a committed configuration.
    /// @return ResultCode::RevisionOlderRefused if the revision is not newer than the applied one.
    ResultCode handleConfiguration(const schema::Configuration& configuration, TimePoint now);

    /// Runs timers that are due.
    void advance(TimePoint now);

    /// @return when advance() must be called next.
    TimePoint nextDeadline() const;

    /// Starts a graceful leave.
    void leave(TimePoint now);

    /// @return true once the graceful leave is complete and the process may exit.
    bool hasLeft() const;

    /// @return the applied configuration; its revision is zero before the first one.
    const schema::Configuration& configuration() const;

    /// @return index of this host in the steering group.
    HostIndex index() const;

    /// @return state report for operators.
    schema::EntryHostState dump(TimePoint now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
