#pragma once

/// @file
/// The data centres that operators have stopped, as one entry host knows them, and when others returned to service.

#include "bergamotroute/clock.h"

#include "directory.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bergamotroute {

/// List of stopped data centres with the highest revision that was applied.
class StoppedDataCentreList {
public:
    /// Applies a list unless one of the same or a higher revision has been applied.
    /// @return true if it was applied.
    bool apply(const schema::StoppedDataCentres& list, TimePoint now);

    bool contains(const std::string& dataCentre) const { return m_names.contains(dataCentre); }

    /// @return the time at which a data centre returned to service, by the control host that sent the list, or by the
    /// arrival here if that one did not tell; nothing if neither shows a return or it is in the list again.
    std::optional<TimePoint> returnedAt(const std::string& dataCentre) const;

    /// @return log index of the applied list; zero before the first.
    std::uint64_t revision() const { return m_revision; }

    std::size_t size() const { return m_names.size(); }
    bool isEmpty() const { return m_names.empty(); }

private:
    std::uint64_t m_revision = 0;
    std::set<std::string> m_names;
    std::map<std::string, TimePoint> m_returnedAt;
};

}
