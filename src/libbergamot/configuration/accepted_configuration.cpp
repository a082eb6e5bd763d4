#include "bergamotroute/configuration_fetcher.h"
#include "bergamotroute/configuration_machine.h"

namespace bergamotroute {

ResultCode AcceptedConfiguration::replace(schema::Configuration candidate)
{
    // A higher revision with a lower term belongs to a different log history, for example that of a quorum which was
    // bootstrapped again.
    const bool newer = candidate.revision() > m_current.revision() && candidate.term() >= m_current.term();
    if (!newer)
        return ResultCode::RevisionOlderRefused;
    m_current = std::move(candidate);
    return ResultCode::Ok;
}

ResultCode AcceptedConfiguration::update(const schema::ConfigurationAnswer& answer)
{
    if (!answer.committed() || answer.revision() <= m_current.revision())
        return ResultCode::RevisionOlderRefused;
    if (answer.has_configuration())
        return answer.configuration().revision() == answer.revision() ? replace(answer.configuration())
                                                                      : ResultCode::InvalidValue;
    schema::Snapshot start;
    *start.mutable_configuration() = m_current;
    ConfigurationMachine machine;
    machine.restore(start);
    for (const schema::LogEntry& entry : answer.entries()) {
        if (machine.apply(entry).outcome() != schema::OUTCOME_ACCEPTED)
            return ResultCode::InvalidValue;
    }
    if (machine.configuration().revision() != answer.revision())
        return ResultCode::InvalidValue;
    return replace(machine.configuration());
}

}
