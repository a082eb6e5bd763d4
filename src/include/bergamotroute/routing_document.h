#pragma once

/// @file
/// The routing document in force, in the form that entry hosts use: which service serves an address and port.

#include "bergamotroute/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

/// Whether a request may be retried.
enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Idempotent, with a large response.
    Download,
    /// Non-idempotent, with a large request.
    Upload,
};

/// @return true if the client may send a request again that may have run.
constexpr bool isIdempotent(RequestKind kind)
{
    return kind == RequestKind::Idempotent || kind == RequestKind::Download;
}

/// A service of a route; its share of new flows is its weight divided by the sum of all weights.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

/// Destination of new flows to one address and port.
struct Route {
    std::string name;
    /// IPv4 address in host byte order.
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    RequestKind kind = RequestKind::Idempotent;
    Duration timeout { 0 };
    /// Latency that a request should not exceed.
    Duration latencyObjective { 0 };
    /// Zero is the highest.
    std::uint32_t priority = 0;
    std::vector<WeightedService> services;
};

/// Slow start of a service's targets: the time after a start in which a target is slower.
struct SlowStart {
    Duration duration { 0 };
    /// Requests per second that a target accepts in slow start; may be zero or a fraction.
    double rate = 0;
};

/// One version of the routing document.
struct RoutingDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<std::string> services;
    /// Slow start by service, for services whose rate in slow start is stated.
    std::map<std::string, SlowStart, std::less<>> slowStarts;
    /// Idle time after which the state of a flow may be removed; zero if the document sets no limit.
    Duration idleTimeout { 0 };

    /// @return true if clients of any route send large requests, which fill a small link of an entry host.
    bool hasUploads() const;
};

/// Parses documents in an operator's own format.
class DocumentReader {
public:
    virtual ~DocumentReader() = default;

    /// @param content bytes as received from the operator.
    /// @param[out] error why the document is invalid.
    /// @return the document, or nothing if it is invalid.
    virtual std::optional<RoutingDocument> read(std::string_view content, std::string& error) const = 0;
};

/// Finds routes by address and port. The version of the installed document never decreases.
class RouteTable {
public:
    /// Installs a document if its version is higher than the installed one.
    /// @return false if it is not.
    bool install(RoutingDocument document);

    /// @return the route, or null. The pointer is valid until the next install().
    const Route* find(std::uint32_t address, std::uint16_t port) const;

    /// Chooses a service by the weights of a route.
    /// @param hash of the flow; equal hashes give the same service.
    static const std::string& chooseService(const Route& route, std::uint64_t hash);

    std::uint64_t version() const { return m_document.version; }
    const RoutingDocument& document() const { return m_document; }

private:
    RoutingDocument m_document;
    std::unordered_map<std::uint64_t, std::size_t> m_routeIndexes;
};

}
