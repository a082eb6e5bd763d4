#pragma once

/// @file
/// Keeps an entry host up to date by long polling one control host at a time. After an error it races connections to
/// all known control hosts and continues with the first that opens.

#include "bergamotroute/connection_race.h"
#include "bergamotroute/control_selector.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/rpc_client_pool.h"

#include "directory.pb.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bergamotroute {

class ControlClient {
public:
    using Handler = std::function<void(const schema::EntrySyncAnswer& response)>;

    /// @param self record of this host, sent with each call.
    /// @param handler receives each response before the next call is made.
    /// @param registryDigest returns the digest of this host's copy of the registry, so that a control host that has
    /// the same one does not send it.
    ControlClient(
        EventLoop& loop, schema::EntryHostRecord self, Handler handler, std::function<std::uint64_t()> registryDigest);

    void addControlHost(const std::string& endpoint, const std::string& dataCentre);

    /// Starts to poll.
    void start();

    /// Sets the version of the document installed on this host, which is sent with each call.
    void setDocumentVersion(std::uint64_t version) { m_documentVersion = version; }

    /// Sets the revision of the applied list of stopped data centres and the number of open flows to their targets,
    /// which are sent with each call.
    void setStoppedDataCentres(std::uint64_t revision, std::uint32_t openFlows);

    /// @return time since the last response from a control host that is in contact with a majority.
    Duration viewAge() const { return m_loop.now() - m_lastQuorumResponse; }

    bool hasQuorumResponse() const { return m_hasQuorumResponse; }
    std::uint64_t failedCalls() const { return m_failedCalls; }

private:
    /// Part of the registry of one control host; changes are numbered for each epoch.
    struct RegistryProgress {
        std::uint64_t epoch = 0;
        std::uint64_t change = 0;
    };

    /// Calls the current control host, or races for another one until a connection opens.
    void call();
    void startRace();
    void continueRace();
    void handleAttempt(const std::string& endpoint, bool isOpen);
    /// @param isNewConnection the control host may have restarted since the last call.
    void send(const std::string& endpoint, bool isNewConnection);
    void handleResult(const std::string& endpoint, const RpcResult& result);
    void recordLoss(const std::string& endpoint, const std::string& reason);
    /// Records a failed call and makes the next one after a pause.
    void handleFailure(const std::string& endpoint, const std::string& reason);

    EventLoop& m_loop;
    schema::EntryHostRecord m_self;
    Handler m_handler;
    std::function<std::uint64_t()> m_registryDigest;
    RpcClientPool m_clients;
    ControlSelector m_selector;
    ConnectionRace m_race;
    /// Control hosts that no attempt of the race has failed at yet.
    std::set<std::string> m_untried;
    std::uint64_t m_documentVersion = 0;
    /// Control host that has responded last, and whether the rest of its registry is to be fetched from it.
    std::string m_lastEndpoint;
    bool m_hasMore = false;
    /// What has been received of the registry of each control host.
    std::map<std::string, RegistryProgress> m_seen;
    std::uint64_t m_seenEntryHosts = 0;
    TimePoint m_lastQuorumResponse;
    bool m_hasQuorumResponse = false;
    bool m_isConnected = false;
    std::uint64_t m_failedCalls = 0;
    Timer m_callTimer;
    Timer m_raceTimer;
};

}
