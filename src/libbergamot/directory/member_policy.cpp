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

    MembershipChange makePromotion(const schema::ControlMember& member, std::string reason)
    {
        MembershipChange proposal;
        proposal.change.set_promote_control_member(member.identity());
        proposal.reason = std::move(reason);
        return proposal;
    }

    MembershipChange makeDemotion(const schema::ControlMember& member, std::string reason)
    {
        MembershipChange proposal;
        proposal.change.set_demote_control_member(member.identity());
        proposal.reason = std::move(reason);
        return proposal;
    }

}

void MemberPolicy::reset()
{
    m_lastSeen.clear();
    m_passedOverUntil.clear();
    m_nextChange = {};
}

void MemberPolicy::handleRefusal(const schema::Change& change, TimePoint now)
{
    m_nextChange = now + m_options.minChangeInterval;
    if (change.change_case() == schema::Change::kPromoteControlMember)
        m_passedOverUntil[change.promote_control_member()] = now + m_options.refusalPause;
}

bool MemberPolicy::isPassedOver(const schema::ControlMember& member, TimePoint now) const
{
    const auto found = m_passedOverUntil.find(member.identity());
    return !member.voter() && found != m_passedOverUntil.end() && now < found->second;
}

bool MemberPolicy::isAlive(const std::string& identity, TimePoint now) const
{
    const auto found = m_lastSeen.find(identity);
    return found != m_lastSeen.end() && now - found->second < m_options.silenceTimeout;
}

void MemberPolicy::updateSeenTimes(
    std::span<const schema::ControlMember> members, std::span<const AnnouncedControlHost> announced, TimePoint now)
{
    for (const AnnouncedControlHost& host : announced) {
        TimePoint& lastSeen = m_lastSeen.try_emplace(host.identity, now - host.age).first->second;
        lastSeen = std::max(lastSeen, now - host.age);
    }
    // A new leader may not have heard of these members yet, and knows nothing of how long they are silent.
    for (const schema::ControlMember& member : members)
        m_lastSeen.try_emplace(member.identity(), now + m_options.firstContactAllowance);
}

std::optional<MembershipChange> MemberPolicy::removeLost(
    std::span<const schema::ControlMember> members, const std::set<std::string>& lostVoters)
{
    const auto lost = std::find_if(members.begin(), members.end(),
        [&lostVoters](const schema::ControlMember& member) { return lostVoters.contains(member.identity()); });
    if (lost == members.end())
        return std::nullopt;
    return makeRemoval(*lost, "another identity answers at its address; the member's disk was lost");
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

std::optional<MembershipChange> MemberPolicy::removeSilent(
    std::span<const schema::ControlMember> members, TimePoint now) const
{
    for (const schema::ControlMember& member : members) {
        if (!member.voter() && now - m_lastSeen.at(member.identity()) >= m_options.removeAfter)
            return makeRemoval(member, "the member has no vote and is silent");
    }
    return std::nullopt;
}

std::optional<MembershipChange> MemberPolicy::add(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, TimePoint now) const
{
    for (const AnnouncedControlHost& host : announced) {
        // A member with the same address is removed first, so that the identity of a lost disk does not count as a
        // voter.
        const bool isEndpointInUse = std::any_of(members.begin(), members.end(),
            [&host](const schema::ControlMember& member) { return member.rpc_endpoint() == host.rpcEndpoint; });
        if (!isEndpointInUse && !findMember(members, host.identity) && isAlive(host.identity, now) && !host.isStopping)
            return makeAddition(host);
    }
    return std::nullopt;
}

VoterBalance MemberPolicy::makeBalance(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, TimePoint now) const
{
    std::vector<ObservedMember> observed;
    for (const schema::ControlMember& member : members) {
        const auto host = std::find_if(announced.begin(), announced.end(),
            [&member](const AnnouncedControlHost& item) { return item.identity == member.identity(); });
        const bool isKnown = host != announced.end();
        const bool isRunning
            = isAlive(member.identity(), now) && !(isKnown && host->isStopping) && !isPassedOver(member, now);
        observed.push_back({ &member, isKnown ? host->dataCentre : std::string(), isRunning });
    }
    return VoterBalance(std::move(observed));
}

std::optional<MembershipChange> MemberPolicy::balanceVoters(const VoterBalance& balance)
{
    const ObservedMember* silent = balance.findSilentVoter();
    if (silent && balance.voterCount() > fewestVoters)
        return makeDemotion(*silent->member, "the voter is silent, and the others tolerate more losses without it");
    if (const ObservedMember* candidate = balance.findCandidate())
        return makePromotion(*candidate->member, "a running member has no vote");
    return std::nullopt;
}

std::optional<MembershipChange> MemberPolicy::findChange(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now,
    const std::set<std::string>& lostVoters) const
{
    if (auto removal = removeLost(members, lostVoters))
        return removal;
    if (auto removal = removeReplaced(members, announced, self, now))
        return removal;
    if (auto addition = add(members, announced, now))
        return addition;
    if (auto change = balanceVoters(makeBalance(members, announced, now)))
        return change;
    return removeSilent(members, now);
}

std::optional<MembershipChange> MemberPolicy::advance(std::span<const schema::ControlMember> members,
    std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now,
    const std::set<std::string>& lostVoters)
{
    updateSeenTimes(members, announced, now);
    if (now < m_nextChange)
        return std::nullopt;
    std::optional<MembershipChange> change = findChange(members, announced, self, now, lostVoters);
    // A promotion may make room for the demotion of a silent voter, so that the next change follows without a pause.
    const bool isPromotion = change && change->change.change_case() == schema::Change::kPromoteControlMember;
    m_nextChange = isPromotion ? now : now + m_options.minChangeInterval;
    return change;
}

}
