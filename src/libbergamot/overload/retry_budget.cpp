#include "overload/retry_budget.h"

namespace bergamotroute {

namespace {

    /// Second choices per first packet. A tenth covers the first packets that are lost in the network.
    constexpr double fraction = 0.1;
    /// Second choices that are allowed at any load, so that a host with few flows can leave a dead target.
    constexpr double minTokens = 10;

}

bool RetryBudget::take(TimePoint now)
{
    const double allowed = minTokens + fraction * m_firstPackets.events(now);
    if (m_secondChoices.events(now) + 1 > allowed)
        return false;
    m_secondChoices.count(now);
    return true;
}

}
