#pragma once

/// @file
/// Data centres that have returned to service lately, as one control host knows them, for entry hosts that missed the
/// evacuation; docs/design/evacuation.md.

#include "bergamotroute/clock.h"

#include "configuration.pb.h"
#include "directory.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamotroute {

/// Measures by the steady clock of this host how long ago evacuations ended. An age is never more than the true one: a
/// withdrawal that is found in a snapshot, or on the disk when the process starts, counts from then.
class DataCentreReturns {
public:
    /// @param memory time for which a return is sent: the longest slow start of the document in force plus one
    /// heartbeat interval, after which entry hosts have no use for it. Zero if the document states no rate in slow
    /// start.
    void setMemory(Duration memory) { m_memory = memory; }

    /// Restores what settledRevision() was when the process ended.
    void restore(std::uint64_t settledRevision);

    /// Notes new returns and orders; call it for each configuration that comes into force.
    void update(const schema::Configuration& configuration, TimePoint now);

    /// Adds the returns that an entry host has not applied to the list that is sent to it.
    /// @param appliedRevision revision of the list that the entry host has applied.
    void addTo(schema::StoppedDataCentres& list, std::uint64_t appliedRevision, TimePoint now) const;

    /// Forgets returns older than the memory.
    /// @return true if settledRevision() has changed.
    bool advance(TimePoint now);

    /// @return log index up to which all withdrawals are older than the memory.
    std::uint64_t settledRevision() const { return m_settledRevision; }

private:
    struct Return {
        /// Log index of the withdrawal.
        std::uint64_t revision = 0;
        TimePoint time;
    };

    Duration m_memory { 0 };
    /// By data centre.
    std::map<std::string, Return> m_returns;
    std::uint64_t m_settledRevision = 0;
};

}
