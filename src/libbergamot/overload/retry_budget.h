#pragma once

/// @file
/// Budget of second choices: how many repeated first packets an entry host may place on another target. A second choice
/// opens a second connection, so that many of them add to the overload that made the first ones late.

#include "admission/flow_rate.h"
#include "bergamotroute/clock.h"

namespace bergamotroute {

class RetryBudget {
public:
    /// Counts a first packet that is not a retransmission.
    void countFirstPacket(TimePoint now) { m_firstPackets.count(now); }

    /// Takes a token for one second choice.
    /// @return false if the budget is empty.
    bool take(TimePoint now);

private:
    static constexpr Duration window { 10'000 };

    FlowRate m_firstPackets { window };
    FlowRate m_secondChoices { window };
};

}
