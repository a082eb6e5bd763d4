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

    MembershipChange makeRemoval(const schema::ControlMember& member, std::string reason)
    {
        MembershipChange proposal;
        proposal.change.set_remove_control_member(member.identity());
        proposal.reason = std::move(reason);
        return proposal;
    }

    MembershipChange makeAddition(const AnnouncedControlHost& host)
    {
        MembershipChange proposal;
        schema::ControlMember& added = *proposal.change.mutable_add_control_member();
        added.set_identity(host.identity);
        added.set_host(host.host);
        added.set_rpc_endpoint(host.rpcEndpoint);
        proposal.reason = "an announced control host is not a member yet";
        return proposal;
    }

    MembershipChange makePromotion(const schema::ControlMember& member)
    {
        MembershipChange proposal;
        proposal.change.set_promote_control_member(member.identity());
        proposal.reason = "a non-voting member is running";
        return proposal;
    }

}

void MemberPolicy::reset()
{
    m_seen.clear();
    m_nextChange = {};
}

bool MemberPolicy::isAlive(const std::string& identity, TimePoint now) const
{
    const auto found = m_seen.find(identity);
    return found != m_seen.end() && now - found->second.last < m_options.announcementTimeout;
}

void MemberPolicy::updateSeenTimes(
    std::span<const schema::ControlMember> members, std::span<const AnnouncedControlHost> announced, TimePoint now)
{
    for (const AnnouncedControlHost& host : announced) {
        const auto [seen, isNew] = m_seen.try_emplace(host.identity, SeenTimes { now, now - host.age });
        seen->second.last = std::max(seen->second.last, now - host.age);
    }
    // A new leader may have no announcement of these members; their silence is counted from now.
    for (const schema::ControlMember& member : members)
        m_seen.try_emplace(member.identity(), SeenTimes { now, now });
}

std::optional<MembershipChange> MemberPolicy::removeReplaced(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const
{
    for (const schema::ControlMember& member : members) {
        if (member.identity() == self)
            continue;
        const auto replacement
            = std::find_if(announced.begin(), announced.end(), [&member, now, this](const AnnouncedControlHost& host) {
                  return host.rpcEndpoint == member.rpc_endpoint() && host.identity != member.identity()
                      && isAlive(host.identity, now);
              });
        if (replacement != announced.end() && !isAlive(member.identity(), now))
            return makeRemoval(member, "another identity announces its address; the member's disk was lost");
    }
    return std::nullopt;
}

bool MemberPolicy::hasReplacement(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, std::size_t silent, TimePoint now) const
{
    const auto dataCentreOf = [announced](const std::string& identity) {
        const auto found = std::find_if(announced.begin(), announced.end(),
            [&identity](const AnnouncedControlHost& host) { return host.identity == identity; });
        return found == announced.end() ? std::string() : found->dataCentre;
    };
    const SeenTimes& silentTimes = m_seen.at(members[silent].identity());
    const std::string dataCentre = dataCentreOf(members[silent].identity());
    for (std::size_t i = 0; i < members.size(); ++i) {
        const schema::ControlMember& other = members[i];
        if (!other.voter() || i == silent || !isAlive(other.identity(), now))
            continue;
        // Members are listed in the order in which they joined.
        const bool isInSameDataCentre
            = i > silent && !dataCentre.empty() && dataCentreOf(other.identity()) == dataCentre;
        if (isInSameDataCentre && now - silentTimes.last >= m_options.replaceInDataCentreAfter)
            return true;
        // A host that was first seen at about the time when the silent one was lost, or later, is its replacement.
        const TimePoint first = m_seen.at(other.identity()).first;
        if (first > silentTimes.first && first + m_options.replaceAfter > silentTimes.last
            && now - silentTimes.last >= m_options.replaceAfter)
            return true;
    }
    return false;
}

std::optional<MembershipChange> MemberPolicy::removeSilent(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        const schema::ControlMember& member = members[i];
        if (member.identity() == self || isAlive(member.identity(), now))
            continue;
        const bool isLongSilent = now - m_seen.at(member.identity()).last >= m_options.replaceAfter;
        if ((!member.voter() && isLongSilent) || hasReplacement(members, announced, i, now))
            return makeRemoval(member, "the member is silent and has been replaced by another host");
    }
    return std::nullopt;
}

std::optional<MembershipChange> MemberPolicy::advance(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now)
{
    updateSeenTimes(members, announced, now);
    if (now < m_nextChange)
        return std::nullopt;
    m_nextChange = now + m_options.minChangeInterval;
    if (auto proposal = removeReplaced(members, announced, self, now))
        return proposal;
    for (const AnnouncedControlHost& host : announced) {
        // A member with the same address is removed first, so that the identity of a lost disk does not count as a
        // voter.
        const bool isEndpointInUse = std::any_of(members.begin(), members.end(),
            [&host](const schema::ControlMember& member) { return member.rpc_endpoint() == host.rpcEndpoint; });
        if (!isEndpointInUse && !findMember(members, host.identity) && isAlive(host.identity, now))
            return makeAddition(host);
    }
    for (const schema::ControlMember& member : members) {
        if (!member.voter() && isAlive(member.identity(), now))
            return makePromotion(member);
    }
    return removeSilent(members, announced, self, now);
}

}
