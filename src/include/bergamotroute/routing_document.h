#pragma once

/// @file
/// The document in force as entry hosts use it: which service serves an address and port.

#include "bergamotroute/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

/// What a repeated request may do.
enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Idempotent with a large answer.
    Download,
};

/// A service of a route with its share of new flows.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

/// Where new flows to one address and port go.
struct Route {
    std::string name;
    /// IPv4 address in host order.
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    RequestKind kind = RequestKind::Idempotent;
    Duration timeout { 0 };
    /// Latency that a request should keep to.
    Duration latencyObjective { 0 };
    /// Zero is the highest.
    std::uint32_t priority = 0;
    std::vector<WeightedService> services;
};

/// One version of the document.
struct RoutingDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<std::string> services;
    /// A flow may be forgotten when it has been idle for this time; zero if the document sets no limit.
    Duration idleTimeout { 0 };
};

/// Reads documents of an operator's own format.
class DocumentReader {
public:
    virtual ~DocumentReader() = default;

    /// @param content bytes as the operator sent them.
    /// @param[out] fault why the document is invalid.
    /// @return the document, or nothing if it is invalid.
    virtual std::optional<RoutingDocument> read(std::string_view content, std::string& error) const = 0;
};

/// Finds routes by address and port. Versions only go up.
class RouteTable {
public:
    /// Takes a document over if its version is higher than the present one.
    /// @return false if it is not.
    bool install(RoutingDocument document);

    /// @return the route, or null. Valid until the next install().
    const Route* find(std::uint32_t address, std::uint16_t port) const;

    /// Chooses a service by the weights of a route.
    /// @param hash of the flow; the same hash gives the same service.
    static const std::string& chooseService(const Route& route, std::uint64_t hash);

    std::uint64_t version() const { return m_document.version; }
    const RoutingDocument& document() const { return m_document; }

private:
    RoutingDocument m_document;
    std::unordered_map<std::uint64_t, std::size_t> m_routeIndexes;
};

}
