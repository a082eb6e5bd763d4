#pragma once

/// @file
/// Orders and withdrawals of evacuations: takes them from operators, submits them to the quorum, and reports which
/// entry hosts have applied them.

#include "bergamot-directory/directory_replicator.h"
#include "bergamotroute/evacuation.h"
#include "bergamotroute/operator_protocol.h"
#include "bergamotroute/target_registry.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/quorum_host.h"

#include "settings.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <prometheus/registry.h>
#include <random>
#include <set>
#include <string>

namespace bergamotroute {

/// @return the leader of the quorum if it is known and is another control host than this one, otherwise null.
const schema::ControlHostRecord* findOtherLeader(const QuorumHost& quorum, const DirectoryReplicator& replicator);

class EvacuationRoutes {
public:
    /// All arguments must outlive the object.
    EvacuationRoutes(EventLoop& loop, QuorumHost& quorum, DirectoryReplicator& replicator,
        const TargetRegistry& registry, const schema::DirectorySettings& settings, const OperatorProtocol& protocol);

    /// Adds the calls of the platform's operators: POST and DELETE below the path that the protocol defines.
    void serveOperators(HttpServer& server);

    /// Adds the calls of bergamotctl: GET /evacuations, POST and DELETE /evacuations/NAME.
    void serveTool(HttpServer& server);

    /// Logs a change that was accepted by the quorum; call it when the configuration has changed.
    void handleConfiguration();

    /// Logs when all entry hosts that respond have applied the last change; to be called a few times per second.
    void advance();

    void addMetrics(prometheus::Registry& registry) const;

private:
    using ExchangePointer = std::shared_ptr<HttpExchange>;

    /// Whose words the answers use.
    enum class Caller {
        Operator,
        Tool,
    };

    struct Counters {
        std::uint64_t accepted = 0;
        std::uint64_t repeated = 0;
        std::uint64_t refused = 0;
        std::uint64_t unknown = 0;
        std::uint64_t dropped = 0;
    };

    void handleRequest(const ExchangePointer& exchange, Caller caller, bool stops);
    std::optional<std::string> readDataCentre(const HttpExchange& exchange, Caller caller) const;
    /// Rejects a call for an unknown data centre once a majority has confirmed that this host knows the newest state.
    void rejectIfUnknown(const ExchangePointer& exchange, Caller caller, const EvacuationRequest& request);
    void submit(const ExchangePointer& exchange, Caller caller, const EvacuationRequest& request);
    void replyToRequest(const ExchangePointer& exchange, Caller caller, const EvacuationRequest& request,
        const schema::CommandResult& result);
    void replyNotLeader(const ExchangePointer& exchange, Caller caller);
    void replyError(const ExchangePointer& exchange, Caller caller, HttpStatus status, ResultCode code,
        std::string_view message) const;
    void listEvacuations(const ExchangePointer& exchange);
    EvacuationSummary summarize() const;
    std::set<std::string> servingDataCentres() const;
    bool isKnown(const std::string& dataCentre) const;

    EventLoop& m_loop;
    QuorumHost& m_quorum;
    DirectoryReplicator& m_replicator;
    const TargetRegistry& m_registry;
    const schema::DirectorySettings& m_settings;
    const OperatorProtocol& m_protocol;
    AcknowledgementWatch m_acknowledgements;
    Counters m_counters;
    std::mt19937_64 m_random;
    std::uint64_t m_loggedRevision = 0;
    bool m_warnedOfAll = false;
};

}
