#pragma once

/// @file
/// Admission control: limits on the rate of new flows and on the number of open flows of each service. The entry hosts
/// share each limit by exchanging their demand in heartbeats, so that no message is needed for each flow.

#include "bergamotroute/clock.h"
#include "bergamotroute/membership_view.h"
#include "bergamotroute/types.h"

#include "configuration.pb.h"
#include "entry.pb.h"

#include <memory>
#include <span>

namespace bergamotroute {

struct EntryHostOptions;

/// What the bucket owner does with the first packet of a flow for which it has no flow record.
enum class AdmissionVerdict {
    Admit,
    /// Drop the packet without an answer, because another host may have forwarded an earlier copy of it.
    Drop,
    /// Drop the packet. The caller may be told, because no host has forwarded a packet of this flow.
    Refuse,
};

/// Decides whether a service admits another flow.
class AdmissionPolicy {
public:
    virtual ~AdmissionPolicy() = default;

    virtual void handleConfiguration(const schema::Configuration& configuration, TimePoint now) = 0;
    virtual void handleView(const MembershipView& view, TimePoint now) = 0;
    virtual void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now) = 0;
    virtual void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now) = 0;

    /// Decides on the first packet of a flow; called on the owner of the flow's bucket.
    virtual AdmissionVerdict admit(ServiceId service, TimePoint now) = 0;

    /// @return true if the `limited` flag should be set in the bucket table of this service.
    virtual bool isLimited(ServiceId service) const = 0;

    /// Records that all ready hosts have applied a bucket table with the `limited` flag.
    /// @param since time from which this has been the case.
    virtual void handleLimitedActive(ServiceId service, TimePoint since) = 0;

    /// Counts an opened flow and an ended flow that this host owns.
    virtual void countOpened(ServiceId service, TimePoint now) = 0;
    virtual void countEnded(ServiceId service, TimePoint now) = 0;
};

/// Creates the admission policy of an entry host.
/// @param options not used at present.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const EntryHostOptions& options);

}
