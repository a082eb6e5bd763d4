#include "bergamotroute/configuration_machine.h"

namespace bergamotroute {

const schema::RememberedResult* RequestMemory::find(std::string_view requestId) const
{
    const auto found = m_sequence.find(std::string(requestId));
    return found == m_sequence.end() ? nullptr : &m_order[found->second - m_dropped];
}

void RequestMemory::add(schema::RememberedResult result)
{
    const std::uint64_t now = result.time_ms();
    m_sequence[result.result().request_id()] = m_dropped + m_order.size();
    m_order.push_back(std::move(result));
    while (m_order.size() > m_limits.count && m_order.front().time_ms() + m_limits.ageMs < now) {
        m_sequence.erase(m_order.front().result().request_id());
        m_order.pop_front();
        ++m_dropped;
    }
}

void RequestMemory::clear()
{
    m_order.clear();
    m_sequence.clear();
    m_dropped = 0;
}

}
