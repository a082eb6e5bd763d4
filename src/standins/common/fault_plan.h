#pragma once

/// @file
/// Seeded decisions of the fault proxy: what happens to a datagram or to a piece of a stream.

#include "bergamotroute/clock.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace bergamotroute {

/// Faults that are in force. Probabilities are from 0 to 1.
struct FaultSettings {
    Duration delay { 0 };
    /// Largest random addition to the delay.
    Duration jitter { 0 };
    /// Datagrams only: a stream hides loss, duplication and reordering from its ends.
    double loss = 0;
    double duplicate = 0;
    double reorder = 0;
    /// Time by which a reordered datagram is held back.
    Duration reorderBy { 20 };
    /// Nothing passes from the client to the target, or back.
    bool isCutUp = false;
    bool isCutDown = false;
};

/// Makes the random decisions.
class FaultPlan {
public:
    explicit FaultPlan(std::uint64_t seed);

    const FaultSettings& settings() const { return m_settings; }

    /// Sets one fault by its name in the control interface.
    /// @return HttpNotFound for an unknown name, InvalidValue for a value out of range.
    std::error_code set(std::string_view name, const std::string& value);

    /// @return the delay of each copy of a datagram; empty if it is lost.
    std::vector<Duration> datagramDelays();

    /// @return the delay of a piece of a stream.
    Duration streamDelay();

private:
    bool chance(double probability);

    FaultSettings m_settings;
    std::mt19937_64 m_random;
};

}
