#include "bergamotroute/configuration_machine.h"

namespace bergamotroute {

const schema::RememberedResult* DeduplicationTable::find(std::string_view requestId) const
{
    const auto found = m_sequenceById.find(std::string(requestId));
    return found == m_sequenceById.end() ? nullptr : &m_results[found->second - m_dropped];
}

void DeduplicationTable::add(schema::RememberedResult result)
{
    const std::uint64_t now = result.time_ms();
    m_sequenceById[result.result().request_id()] = m_dropped + m_results.size();
    m_results.push_back(std::move(result));
    while (m_results.size() > m_limits.count && m_results.front().time_ms() + m_limits.ageMs < now) {
        m_sequenceById.erase(m_results.front().result().request_id());
        m_results.pop_front();
        ++m_dropped;
    }
}

void DeduplicationTable::clear()
{
    m_results.clear();
    m_sequenceById.clear();
    m_dropped = 0;
}

}
