#include "bergamotroute/member_policy.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    const schema::ControlMember* findMember(std::span<const schema::ControlMember> members, const std::string& identity)
    {
        const auto found = std::find_if(members.begin(), members.end(),
            [&identity](const schema::ControlMember& member) { return member.identity() == identity; });
        return found == members.end() ? nullptr : &*found;
    }

    MemberStep removal(const schema::ControlMember& member, std::string reason)
    {
        MemberStep step;
        step.change.set_remove_control_member(member.identity());
        step.reason = std::move(reason);
        return step;
    }

    MemberStep addition(const AnnouncedControlHost& host)
    {
        MemberStep step;
        schema::ControlMember& added = *step.change.mutable_add_control_member();
        added.set_identity(host.identity);
        added.set_host(host.host);
        added.set_rpc_endpoint(host.rpcEndpoint);
        step.reason = "a control host announces itself and is not a member";
        return step;
    }

    MemberStep promotion(const schema::ControlMember& member)
    {
        MemberStep step;
        step.change.set_promote_control_member(member.identity());
        step.reason = "a member without a vote runs";
        return step;
    }

}

void MemberPolicy::reset()
{
    m_seen.clear();
    m_nextStep = {};
}

bool MemberPolicy::isAlive(const std::string& identity, TimePoint now) const
{
    const auto found = m_seen.find(identity);
    return found != m_seen.end() && now - found->second.last < m_options.aliveWithin;
}

void MemberPolicy::look(
    std::span<const schema::ControlMember> members, std::span<const AnnouncedControlHost> announced, TimePoint now)
{
    for (const AnnouncedControlHost& host : announced) {
        const auto [seen, isNew] = m_seen.try_emplace(host.identity, Sighting { now, now - host.age });
        seen->second.last = std::max(seen->second.last, now - host.age);
    }
    // Nobody has told a new leader of these members; their silence counts from now.
    for (const schema::ControlMember& member : members)
        m_seen.try_emplace(member.identity(), Sighting { now, now });
}

std::optional<MemberStep> MemberPolicy::removeReplaced(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const
{
    for (const schema::ControlMember& member : members) {
        if (member.identity() == self)
            continue;
        const auto successor
            = std::find_if(announced.begin(), announced.end(), [&member, now, this](const AnnouncedControlHost& host) {
                  return host.rpcEndpoint == member.rpc_endpoint() && host.identity != member.identity()
                      && isAlive(host.identity, now);
              });
        if (successor != announced.end() && !isAlive(member.identity(), now))
            return removal(member, "another identity runs at its address: its disk was lost");
    }
    return std::nullopt;
}

bool MemberPolicy::hasSuccessor(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, std::size_t silent, TimePoint now) const
{
    const auto dataCentreOf = [announced](const std::string& identity) {
        const auto found = std::find_if(announced.begin(), announced.end(),
            [&identity](const AnnouncedControlHost& host) { return host.identity == identity; });
        return found == announced.end() ? std::string() : found->dataCentre;
    };
    const Sighting& lost = m_seen.at(members[silent].identity());
    const std::string dataCentre = dataCentreOf(members[silent].identity());
    for (std::size_t i = 0; i < members.size(); ++i) {
        const schema::ControlMember& other = members[i];
        if (!other.voter() || i == silent || !isAlive(other.identity(), now))
            continue;
        // Members stand in the order in which they joined.
        const bool isNear = i > silent && !dataCentre.empty() && dataCentreOf(other.identity()) == dataCentre;
        if (isNear && now - lost.last >= m_options.replaceInDataCentreAfter)
            return true;
        // A host that was first seen at about the time of the loss, or later, has taken the place of the lost one.
        const TimePoint first = m_seen.at(other.identity()).first;
        if (first > lost.first && first + m_options.replaceAfter > lost.last
            && now - lost.last >= m_options.replaceAfter)
            return true;
    }
    return false;
}

std::optional<MemberStep> MemberPolicy::removeSurplus(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        const schema::ControlMember& member = members[i];
        if (member.identity() == self || isAlive(member.identity(), now))
            continue;
        const bool isLongSilent = now - m_seen.at(member.identity()).last >= m_options.replaceAfter;
        if ((!member.voter() && isLongSilent) || hasSuccessor(members, announced, i, now))
            return removal(member, "silent, and another host has taken its place");
    }
    return std::nullopt;
}

std::optional<MemberStep> MemberPolicy::advance(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now)
{
    look(members, announced, now);
    if (now < m_nextStep)
        return std::nullopt;
    m_nextStep = now + m_options.pause;
    if (auto step = removeReplaced(members, announced, self, now))
        return step;
    for (const AnnouncedControlHost& host : announced) {
        // A predecessor at the same address is removed first, so that the lost disk does not count as a voter.
        const bool hasPredecessor = std::any_of(members.begin(), members.end(),
            [&host](const schema::ControlMember& member) { return member.rpc_endpoint() == host.rpcEndpoint; });
        if (!hasPredecessor && !findMember(members, host.identity) && isAlive(host.identity, now))
            return addition(host);
    }
    for (const schema::ControlMember& member : members) {
        if (!member.voter() && isAlive(member.identity(), now))
            return promotion(member);
    }
    return removeSurplus(members, announced, self, now);
}

}
