#pragma once

/// @file
/// Fixture of the tests of cookie steering under overload: one entry host with a link of 637 KB/s, a paused clock, and
/// a routing document with uploads, streams and lookups.

#include "bergamotroute/clock.h"
#include "bergamotroute/cookie_steering.h"

#include <doctest/doctest.h>
#include <string>

namespace bergamotroute::overloadtest {

constexpr std::uint32_t serviceAddress = 0xc6120001;
constexpr std::uint32_t clientAddress = 0x64400001;
constexpr std::uint16_t uploadPort = 80;
constexpr std::uint16_t lookupPort = 443;
constexpr std::uint16_t minorUploadPort = 81;
constexpr double linkBytesPerSecond = 637'000;
constexpr double pacedBytesPerSecond = 0.92 * linkBytesPerSecond;

inline std::uint64_t parseTargetNumber(std::string_view id)
{
    return std::stoull(std::string(id.substr(2)), nullptr, 16);
}

inline Route makeRoute(std::uint16_t port, RequestKind kind, std::uint32_t priority, Duration objective)
{
    Route route;
    route.name = "r-" + std::to_string(port);
    route.address = serviceAddress;
    route.port = port;
    route.kind = kind;
    route.priority = priority;
    route.latencyObjective = objective;
    route.services = { { "orders", 1 } };
    return route;
}

inline RoutingDocument makeDocument(std::uint64_t version = 1)
{
    RoutingDocument document;
    document.version = version;
    document.services = { "orders" };
    document.routes = { makeRoute(uploadPort, RequestKind::Upload, 1, Duration(1200)),
        makeRoute(lookupPort, RequestKind::Idempotent, 0, Duration(400)),
        makeRoute(minorUploadPort, RequestKind::Upload, 2, Duration(1200)) };
    return document;
}

inline RegisteredTarget makeTarget(const std::string& id, schema::TargetPhase phase = schema::TARGET_READY)
{
    RegisteredTarget target;
    target.record.set_id(id);
    target.record.set_service("orders");
    target.record.set_endpoint("10.0.0." + id.substr(2) + ":80");
    target.record.set_data_centre("a");
    target.record.set_slots(2);
    target.record.set_phase(phase);
    target.record.set_born_ms(1);
    return target;
}

inline FlowPacket firstPacket(std::uint16_t clientPort, std::uint16_t servicePort, std::uint32_t retransmission = 0)
{
    FlowPacket packet;
    packet.flow = { clientAddress, serviceAddress, clientPort, servicePort };
    packet.syn = true;
    packet.sequence = 1000;
    packet.acknowledgement = retransmission;
    return packet;
}

inline FlowPacket subsequentPacket(
    const FlowPacket& first, Cookie cookie, std::uint32_t sequence, std::uint16_t bytes, std::uint32_t acknowledgement)
{
    FlowPacket packet;
    packet.flow = first.flow;
    packet.ack = true;
    packet.cookie = cookie;
    packet.sequence = sequence;
    packet.payloadBytes = bytes;
    packet.acknowledgement = acknowledgement;
    return packet;
}

inline LinkState makeLinkState(bool isOverloaded, double bytesPerSecond = pacedBytesPerSecond)
{
    LinkState state;
    state.isOverloaded = isOverloaded;
    state.bytesPerSecond = bytesPerSecond;
    return state;
}

struct SteeringFixture {
    ManualClock clock;
    CookieSteering steering;

    explicit SteeringFixture(double linkRate = linkBytesPerSecond)
        : steering(makeOptions(linkRate))
    {
        steering.installDocument(makeDocument());
        for (const char* id : { "i-11", "i-12", "i-13" })
            steering.updateTarget(makeTarget(id), clock.now());
    }

    static CookieSteeringOptions makeOptions(double linkRate)
    {
        CookieSteeringOptions options;
        options.host = "entry-1";
        options.dataCentre = "a";
        options.targetNumberOf = parseTargetNumber;
        options.linkBytesPerSecond = linkRate;
        return options;
    }

    SteeringDecision handle(const FlowPacket& packet) { return steering.handlePacket(packet, clock.now()); }

    /// Opens a flow and sends a request of one packet that gets no response.
    Cookie openAndSendRequest(const FlowPacket& first)
    {
        const Cookie cookie = handle(first).cookie;
        handle(subsequentPacket(first, cookie, 1001, 0, 500));
        handle(subsequentPacket(first, cookie, 1001, 100, 500));
        return cookie;
    }

    static std::string idOf(Cookie cookie)
    {
        std::array<char, 16> text {};
        std::snprintf(text.data(), text.size(), "i-%x", cookie);
        return text.data();
    }

    /// Applies a report of another entry host about one target.
    void report(Cookie cookie, std::uint32_t requests, bool isUnreachable = false, bool isOverloaded = false)
    {
        schema::TargetLoadReport report;
        report.set_host("entry-2");
        report.set_sequence(++reportSequence);
        report.set_data_centre("a");
        report.set_valid_ms(10'000);
        report.set_overloaded(isOverloaded);
        report.add_cookies(cookie);
        report.add_open_flows(0);
        report.add_requests(requests);
        if (isUnreachable)
            report.add_unreachable_cookies(cookie);
        steering.handleReport(report, clock.now());
    }

    /// Takes the due probe of a target, lets it run for its timeout and gives its outcome.
    /// @return true if the outcome changes whether the target is reachable.
    bool probe(Cookie cookie, ProbeOutcome outcome)
    {
        for (const ProbeRequest& request : steering.takeProbes(clock.now())) {
            if (request.target != idOf(cookie))
                continue;
            clock.advance(request.timeout);
            return steering.handleProbeOutcome(request.target, outcome, clock.now());
        }
        return false;
    }

    std::uint64_t reportSequence = 0;
};

}
