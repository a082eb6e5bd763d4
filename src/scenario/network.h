#pragma once

/// @file
/// Delays and faults between the places of a scenario.

#include "scenario/event_queue.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bergamotroute::scenario {

/// Index of an entry host, a backend server, the callers or the control hosts.
using PlaceId = std::size_t;

/// Moments at which copies of one packet arrive: none, one or two.
struct Transit {
    std::size_t copies = 0;
    SimTime delays[2] = { 0, 0 };
};

/// Says when and whether a packet arrives.
class Network {
public:
    struct Delays {
        SimTime between = 500;
        SimTime within = 100;
        SimTime callers = 3000;
        SimTime jitter = 200;
    };

    explicit Network(Random& random);

    /// Adds a place.
    /// @param dataCentre empty for places outside all data centres.
    PlaceId addPlace(const std::string& name, const std::string& dataCentre);

    /// @return the places that a name stands for: one place, or all of a data centre.
    std::vector<PlaceId> find(const std::string& name) const;

    const std::string& dataCentre(PlaceId place) const { return m_places[place].dataCentre; }
    PlaceId callers() const { return m_callers; }
    PlaceId control() const { return m_control; }

    void setDelays(const Delays& delays) { m_delays = delays; }
    const Delays& delays() const { return m_delays; }
    void setLoss(double probability) { m_loss = probability; }
    void setDuplication(double probability) { m_duplication = probability; }
    void setAddedDelay(SimTime delay) { m_added = delay; }

    void cut(PlaceId from, PlaceId to);
    /// Cuts the places off from all others but the callers, in both directions.
    void partition(const std::vector<PlaceId>& inside);
    void heal();

    bool isCut(PlaceId from, PlaceId to) const { return m_places[from].cutTo[to]; }
    Transit transit(PlaceId from, PlaceId to);

private:
    struct Place {
        std::string name;
        std::string dataCentre;
        std::vector<bool> cutTo;
    };

    SimTime delay(PlaceId from, PlaceId to);

    Random& m_random;
    std::vector<Place> m_places;
    Delays m_delays;
    double m_loss = 0;
    double m_duplication = 0;
    SimTime m_added = 0;
    PlaceId m_callers = 0;
    PlaceId m_control = 0;
};

}
