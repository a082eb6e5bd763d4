#include "bergamotd/settings_check.h"

#include <map>
#include <set>

namespace bergamotroute {

namespace {

    std::string findListenerClash(const schema::EntryHostSettings& settings)
    {
        // UDP and TCP ports are apart; the peer listener uses both.
        if (settings.fabric_listen() == settings.peer_listen())
            return "fabric_listen and peer_listen are both " + settings.fabric_listen();
        std::map<std::string, std::string> owners { { settings.peer_listen(), "peer_listen" } };
        const std::pair<std::string, std::string> others[] { { settings.announce_listen(), "announce_listen" },
            { settings.operators().listen(), "operators.listen" } };
        for (const auto& [endpoint, key] : others) {
            const auto [owner, inserted] = owners.emplace(endpoint, key);
            if (!inserted)
                return owner->second + " and " + key + " are both " + endpoint;
        }
        return {};
    }

    std::string findPeerClash(const schema::EntryHostSettings& settings)
    {
        std::set<std::string> hosts;
        std::map<std::string, std::string> endpoints;
        for (const schema::PeerSettings& peer : settings.peers()) {
            if (!hosts.insert(peer.host()).second)
                return "peer " + peer.host() + " is listed twice";
            const auto [owner, inserted] = endpoints.emplace(peer.endpoint(), peer.host());
            if (!inserted)
                return "peers " + owner->second + " and " + peer.host() + " both have " + peer.endpoint();
            if (peer.host() == settings.host() && peer.endpoint() != settings.peer_listen())
                return "peers list this host with " + peer.endpoint() + ", but peer_listen is "
                    + settings.peer_listen();
        }
        if (!hosts.contains(settings.host()))
            return "peers do not list this host, " + settings.host();
        return {};
    }

}

std::string findSettingsClash(const schema::EntryHostSettings& settings)
{
    const std::string clash = findListenerClash(settings);
    return clash.empty() ? findPeerClash(settings) : clash;
}

}
