#include "scenario/network.h"

#include <algorithm>

namespace bergamotroute::scenario {

Network::Network(Random& random)
    : m_random(random)
{
    m_callers = addNode("callers", "");
    m_control = addNode("control", "");
}

NodeId Network::addNode(const std::string& name, const std::string& dataCentre)
{
    m_nodes.push_back({ name, dataCentre, {} });
    for (Node& node : m_nodes)
        node.cutTo.resize(m_nodes.size(), false);
    return m_nodes.size() - 1;
}

std::vector<NodeId> Network::find(const std::string& name) const
{
    std::vector<NodeId> found;
    for (NodeId node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes[node].name == name || m_nodes[node].dataCentre == name)
            found.push_back(node);
    }
    return found;
}

void Network::cut(NodeId from, NodeId to) { m_nodes[from].cutTo[to] = true; }

void Network::partition(const std::vector<NodeId>& inside)
{
    const auto isInside
        = [&inside](NodeId node) { return std::find(inside.begin(), inside.end(), node) != inside.end(); };
    for (NodeId node = 0; node < m_nodes.size(); ++node) {
        if (node == m_callers || isInside(node))
            continue;
        for (const NodeId member : inside) {
            cut(member, node);
            cut(node, member);
        }
    }
}

void Network::heal()
{
    for (Node& node : m_nodes)
        std::fill(node.cutTo.begin(), node.cutTo.end(), false);
}

SimTime Network::delay(NodeId from, NodeId to)
{
    SimTime base = m_delays.betweenDataCentres;
    if (from == m_callers || to == m_callers)
        base = m_delays.callers;
    else if (m_nodes[from].dataCentre == m_nodes[to].dataCentre)
        base = m_delays.withinDataCentre;
    return base + m_random.upTo(m_delays.jitter) + m_random.upTo(m_maxAddedDelay);
}

Transit Network::transit(NodeId from, NodeId to)
{
    Transit result;
    if (isCut(from, to) || m_random.chance(m_loss))
        return result;
    result.copies = m_random.chance(m_duplication) ? 2 : 1;
    for (std::size_t copy = 0; copy < result.copies; ++copy)
        result.delays[copy] = delay(from, to);
    return result;
}

}
