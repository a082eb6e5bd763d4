#pragma once

/// @file
/// Hosts that announce themselves, with the time of their last announcement. Records are exchanged with the age of the
/// announcement instead of its time, because hosts do not share a clock.

#include "bergamotroute/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotroute {

/// Directory of one kind of host.
/// @tparam Record a schema message with the field age_ms.
template <class Record> class HostDirectory {
public:
    /// Stores a record if its announcement is newer than the stored one.
    /// @return true if the host was not known before.
    bool merge(const std::string& key, const Record& record, TimePoint now)
    {
        const TimePoint announcedAt = now - Duration(record.age_ms());
        const auto [found, isNew] = m_hosts.try_emplace(key, Entry { record, announcedAt });
        if (!isNew && announcedAt > found->second.announcedAt)
            found->second = { record, announcedAt };
        return isNew;
    }

    /// @return records announced less than maxAge ago, with their current ages.
    std::vector<Record> records(Duration maxAge, TimePoint now) const
    {
        std::vector<Record> result;
        for (const auto& [key, item] : m_hosts) {
            const Duration age = std::max(Duration(0), now - item.announcedAt);
            if (age >= maxAge)
                continue;
            result.push_back(item.record);
            result.back().set_age_ms(static_cast<std::uint32_t>(age.count()));
        }
        return result;
    }

    /// @return the record, or null; valid until the host expires.
    const Record* find(const std::string& key) const
    {
        const auto found = m_hosts.find(key);
        return found == m_hosts.end() ? nullptr : &found->second.record;
    }

    /// Removes hosts whose last announcement is at least maxAge old.
    void expire(Duration maxAge, TimePoint now)
    {
        std::erase_if(m_hosts, [maxAge, now](const auto& item) { return now - item.second.announcedAt >= maxAge; });
    }

private:
    struct Entry {
        Record record;
        TimePoint announcedAt;
    };

    std::map<std::string, Entry> m_hosts;
};

}
