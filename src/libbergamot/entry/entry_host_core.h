#pragma once

/// @file
/// Composition of membership, targets, steering, admission, probing and the check of configuration revisions.

#include "bergamotroute/admission.h"
#include "bergamotroute/entry_host.h"
#include "bergamotroute/flow_prober.h"
#include "bergamotroute/target_manager.h"
#include "membership/membership.h"
#include "steering/control_sender.h"
#include "steering/steering.h"

namespace bergamotroute {

/// Owns the components of an entry host and dispatches events that concern more than one of them.
class EntryHostCore {
public:
    EntryHostCore(EntryHostOptions options, EntryHostSink& sink, TimePoint now);

    ResultCode handleRelayedPacket(
        HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> packet, TimePoint now);
    void handleMessage(const schema::PeerMessage& message, TimePoint now);
    schema::AnnouncementResult handleAnnouncement(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now);
    ResultCode handleConfiguration(const schema::Configuration& configuration, TimePoint now);
    void advance(TimePoint now);
    TimePoint nextDeadline() const;
    void leave(TimePoint now);
    bool hasLeft() const;
    schema::EntryHostState dump(TimePoint now) const;

    const schema::Configuration& configuration() const { return m_configuration; }
    HostIndex index() const { return m_self; }
    TargetManager& targets() { return *m_targets; }
    Steering& steering() { return m_steering; }

private:
    HostIndex indexOf(std::string_view host) const;
    void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now);
    void evaluateMembership(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void sendTargetUpdate(TimePoint now);
    void runProbes(TimePoint now);
    void applyHostOverrides(TimePoint now);
    void dumpPeers(schema::EntryHostState& state, TimePoint now) const;

    EntryHostOptions m_options;
    EntryHostSink& m_sink;
    HostIndex m_self;
    schema::Configuration m_configuration;
    std::unique_ptr<TargetManager> m_targets;
    std::unique_ptr<AdmissionPolicy> m_admission;
    std::unique_ptr<FlowProber> m_prober;
    ControlSender m_sender;
    Membership m_membership;
    Steering m_steering;
    TimePoint m_nextTick;
};

}
