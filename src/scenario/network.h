#pragma once

/// @file
/// Network delays, packet loss, duplication and partitions between the nodes of a scenario.

#include "scenario/event_queue.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bergamotroute::scenario {

/// Index of a network node: an entry host, a backend server, all callers together, or all control hosts together.
using NodeId = std::size_t;

/// Delays after which the copies of one packet arrive: no copy if it is lost, two if it is duplicated.
struct Transit {
    std::size_t copies = 0;
    SimTime delays[2] = { 0, 0 };
};

/// Decides whether and after which delay a packet arrives.
class Network {
public:
    /// One-way delays in microseconds; jitter is the maximum random addition.
    struct Delays {
        SimTime betweenDataCentres = 500;
        SimTime withinDataCentre = 100;
        SimTime callers = 3000;
        SimTime jitter = 200;
    };

    explicit Network(Random& random);

    /// @param dataCentre empty for nodes outside all data centres.
    NodeId addNode(const std::string& name, const std::string& dataCentre);

    /// @return the node of that name, or all nodes of the data centre of that name; empty if there is none.
    std::vector<NodeId> find(const std::string& name) const;

    const std::string& dataCentre(NodeId node) const { return m_nodes[node].dataCentre; }
    NodeId callers() const { return m_callers; }
    NodeId control() const { return m_control; }

    void setDelays(const Delays& delays) { m_delays = delays; }
    const Delays& delays() const { return m_delays; }
    void setLoss(double probability) { m_loss = probability; }
    void setDuplication(double probability) { m_duplication = probability; }
    void setAddedDelay(SimTime delay) { m_maxAddedDelay = delay; }

    /// Drops all packets in one direction.
    void cut(NodeId from, NodeId to);
    /// Separates the nodes from all other nodes except the callers, in both directions.
    void partition(const std::vector<NodeId>& inside);
    void heal();

    bool isCut(NodeId from, NodeId to) const { return m_nodes[from].cutTo[to]; }
    Transit transit(NodeId from, NodeId to);

private:
    struct Node {
        std::string name;
        std::string dataCentre;
        std::vector<bool> cutTo;
    };

    SimTime delay(NodeId from, NodeId to);

    Random& m_random;
    std::vector<Node> m_nodes;
    Delays m_delays;
    double m_loss = 0;
    double m_duplication = 0;
    SimTime m_maxAddedDelay = 0;
    NodeId m_callers = 0;
    NodeId m_control = 0;
};

}
