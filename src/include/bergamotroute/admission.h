#pragma once

/// @file
/// Limits on new and open flows of each service, kept across entry hosts without a message for each flow.

#include "bergamotroute/clock.h"
#include "bergamotroute/membership_view.h"
#include "bergamotroute/types.h"

#include "configuration.pb.h"
#include "entry.pb.h"

#include <memory>
#include <span>

namespace bergamotroute {

struct EntryHostOptions;

/// What the bucket owner does with a first packet that has no record.
enum class AdmissionVerdict {
    Admit,
    /// Say nothing: another host may have forwarded an earlier copy.
    Drop,
    /// Nothing of the flow was forwarded by any host: the caller may be told so.
    Refuse,
};

/// Decides whether a service takes another new flow.
class AdmissionPolicy {
public:
    virtual ~AdmissionPolicy() = default;

    virtual void handleConfiguration(const schema::Configuration& configuration, TimePoint now) = 0;
    virtual void handleView(const MembershipView& view, TimePoint now) = 0;
    virtual void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now) = 0;
    virtual void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now) = 0;

    /// Decides on a first packet at the bucket owner.
    virtual AdmissionVerdict admit(ServiceId service, TimePoint now) = 0;

    /// @return true if the table of this service should be marked limited.
    virtual bool isLimited(ServiceId service) const = 0;

    /// Notes that the limited mark of the service is in force on all ready hosts since the given time.
    virtual void handleLimitedActive(ServiceId service, TimePoint since) = 0;

    /// Counts flows that this host owns: opened and ended.
    virtual void countOpened(ServiceId service, TimePoint now) = 0;
    virtual void countEnded(ServiceId service, TimePoint now) = 0;
};

/// Makes the admission policy of an entry host.
/// @param options host name and intervals; copied.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(const EntryHostOptions& options);

}
