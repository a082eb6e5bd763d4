/// @file
/// Guards against a link that fills up with large requests until nothing is answered in time, and against admission
/// that refuses flows without need, after it has forwarded a packet, or always the same ones.

#include "admission/bulk_flows.h"
#include "overload/steering_fixture.h"

#include <algorithm>
#include <map>

using namespace bergamotroute;
using namespace bergamotroute::overloadtest;

namespace {

constexpr std::uint32_t uploadBytes = 40'000;
constexpr std::uint32_t dataPerPacket = 1200;
constexpr Duration tick { 10 };
constexpr Duration objective { 1200 };
/// Time from the last packet of an upload to its answer.
constexpr Duration processingTime { 100 };

/// Clients that upload 40 KB each over the host's link, which carries a bounded number of bytes for all of them.
struct Uploads : SteeringFixture {
    struct Upload {
        FlowPacket first;
        TimePoint begin;
        bool isAnswered = true;
        Cookie cookie = 0;
        std::uint32_t sent = 0;
        TimePoint answerAt = noDeadline;
    };

    void start(std::uint16_t servicePort = uploadPort, std::uint32_t client = clientAddress, bool isAnswered = true)
    {
        Upload upload { firstPacket(++lastPort, servicePort), clock.now(), isAnswered };
        upload.first.flow.clientAddress = client;
        const SteeringDecision decision = handle(upload.first);
        uploads[upload.first.flow] = upload;
        clientOf[lastPort] = client;
        apply(upload.first.flow, decision);
    }

    void apply(const FlowId& flow, const SteeringDecision& decision)
    {
        Upload& upload = uploads.at(flow);
        if (decision.action == SteeringAction::Forward)
            upload.cookie = decision.cookie;
        if (decision.action != SteeringAction::Reset)
            return;
        CHECK(upload.cookie == 0);
        ++refused[{ flow.clientAddress, flow.servicePort }];
        longestRefusal = std::max(longestRefusal, clock.now() - upload.begin);
        uploads.erase(flow);
    }

    /// Lets time pass; the open uploads share the link packet by packet.
    void run(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(tick);
            for (const FlowRelease& release : steering.takeReleases(clock.now()))
                apply(release.packet.flow, release.decision);
            repeatFirstPackets();
            budget = std::min(budget, 0.0) + linkRate * 0.01;
            while (budget > 0 && sendRound()) { }
            finishAnswered();
            most = std::max(most, steering.admissionMetrics().bulkFlows);
            steering.advance(clock.now());
        }
    }

    void repeatFirstPackets()
    {
        std::vector<FlowPacket> repeated;
        for (const auto& [flow, upload] : uploads) {
            if (upload.cookie == 0 && clock.now() - upload.begin == Duration(200))
                repeated.push_back(firstPacket(flow.clientPort, flow.servicePort, 1));
        }
        for (FlowPacket& packet : repeated) {
            packet.flow.clientAddress = clientOf.at(packet.flow.clientPort);
            apply(packet.flow, handle(packet));
        }
    }

    /// @return false if no upload has data to send.
    bool sendRound()
    {
        bool hasSent = false;
        for (auto& [flow, upload] : uploads) {
            if (upload.cookie == 0 || !upload.isAnswered || upload.sent == uploadBytes || budget <= 0)
                continue;
            const auto bytes = static_cast<std::uint16_t>(std::min(dataPerPacket, uploadBytes - upload.sent));
            handle(subsequentPacket(upload.first, upload.cookie, 1001 + upload.sent, bytes, 500));
            upload.sent += bytes;
            budget -= bytes;
            hasSent = true;
            if (upload.sent == uploadBytes)
                upload.answerAt = clock.now() + processingTime;
        }
        return hasSent;
    }

    void finishAnswered()
    {
        std::erase_if(uploads, [this](const auto& item) {
            const Upload& upload = item.second;
            if (clock.now() < upload.answerAt)
                return false;
            FlowPacket last = subsequentPacket(upload.first, upload.cookie, 1001 + uploadBytes, 0, 600);
            last.fin = true;
            handle(last);
            ++done[{ item.first.clientAddress, item.first.servicePort }];
            slowest = std::max(slowest, clock.now() - upload.begin);
            return true;
        });
    }

    /// Lets a client send a lookup of 6,000 bytes, after which lookups need room.
    void teachLargeLookups()
    {
        const FlowPacket first = firstPacket(1, lookupPort);
        const Cookie cookie = handle(first).cookie;
        for (std::uint32_t sequence = 1001; sequence < 1001 + 6000; sequence += dataPerPacket)
            handle(subsequentPacket(first, cookie, sequence, dataPerPacket, 500));
        handle(subsequentPacket(first, cookie, 7001, 0, 600));
    }

    /// Lets time pass in which the open uploads keep their claims and nothing is released.
    void holdRoom(Duration time)
    {
        constexpr Duration step { 100 };
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(step);
            for (const auto& [flow, upload] : uploads)
                handle(subsequentPacket(upload.first, upload.cookie, 1001, dataPerPacket, 500));
        }
    }

    /// Two seconds after a surge, uploads are admitted and answered within their objective.
    void checkRecovery()
    {
        run(Duration(2000));
        const int refusedBefore = total(refused);
        slowest = Duration(0);
        for (int upload = 0; upload < 6; ++upload) {
            start();
            run(Duration(330));
        }
        run(Duration(1000));
        CHECK(total(refused) == refusedBefore);
        CHECK(slowest > Duration(0));
        CHECK(slowest <= objective);
    }

    using Counts = std::map<std::pair<std::uint32_t, std::uint16_t>, int>;
    static int total(const Counts& counts)
    {
        int sum = 0;
        for (const auto& [key, count] : counts)
            sum += count;
        return sum;
    }

    std::map<FlowId, Upload> uploads;
    std::map<std::uint16_t, std::uint32_t> clientOf;
    Counts done;
    Counts refused;
    double linkRate = pacedBytesPerSecond;
    double budget = 0;
    Duration slowest { 0 };
    Duration longestRefusal { 0 };
    std::size_t most = 0;
    std::uint16_t lastPort = 0;
};

}

TEST_CASE_FIXTURE(Uploads, "daily peak: uploads that fit are neither refused nor late")
{
    for (int second = 0; second < 10; ++second) {
        for (int upload = 0; upload < 3; ++upload)
            start();
        CHECK(steering.admissionMetrics().waiting == 0);
        run(Duration(1000));
    }
    CHECK(total(refused) == 0);
    CHECK(total(done) == 30);
    CHECK(slowest <= objective);
}

TEST_CASE_FIXTURE(Uploads, "bulk surge: few uploads send at a time, and what is admitted is answered in time")
{
    for (int upload = 0; upload < 60; ++upload) {
        start();
        run(Duration(110));
    }
    CHECK(total(refused) == 0);
    for (int upload = 0; upload < 150; ++upload) {
        start();
        run(Duration(40));
    }
    CHECK(most == 3);
    CHECK(total(refused) > 0);
    CHECK(longestRefusal <= objective / 4 + tick);
    CHECK(slowest <= objective);
    // The link carries 14 uploads a second; room that is left unused shows here.
    CHECK(total(done) >= 60 + 6 * 12);
    checkRecovery();
}

TEST_CASE_FIXTURE(Uploads, "bulk surge: a greedy client account delays only itself")
{
    constexpr std::uint32_t modest = clientAddress + 1;
    for (int upload = 0; upload < 100; ++upload) {
        start();
        start();
        if (upload % 10 == 0)
            start(uploadPort, modest);
        run(Duration(40));
    }
    CHECK(refused[{ modest, uploadPort }] == 0);
    CHECK(refused[{ clientAddress, uploadPort }] > 50);
    checkRecovery();
}

TEST_CASE_FIXTURE(Uploads, "bulk surge: the lower priority gets less, but does not starve")
{
    for (int upload = 0; upload < 200; ++upload) {
        start(uploadPort);
        start(minorUploadPort, clientAddress + 1);
        run(Duration(40));
    }
    const int major = done[{ clientAddress, uploadPort }];
    const int minor = done[{ clientAddress + 1, minorUploadPort }];
    CHECK(minor >= 200 * 4 / 100);
    CHECK(major > 4 * minor);
    checkRecovery();
}

TEST_CASE_FIXTURE(Uploads, "unresponsive targets in a surge: flows that are not answered do not keep the room")
{
    for (int upload = 0; upload < 90; ++upload) {
        start(uploadPort, clientAddress, upload % 4 != 0);
        run(Duration(110));
    }
    // Three quarters of nine a second; the room that the others hold for 200 ms each is for three flows.
    CHECK(total(refused) <= 9);
    checkRecovery();
}

TEST_CASE_FIXTURE(Uploads, "bulk surge: an overloaded host keeps the room of flows whose first data is late")
{
    for (const bool isOverloaded : { true, false }) {
        steering.setLinkState(makeLinkState(isOverloaded));
        start(uploadPort, clientAddress, false);
        run(Duration(250));
        CHECK(steering.admissionMetrics().bulkFlows == (isOverloaded ? 1 : 0));
    }
}

TEST_CASE_FIXTURE(Uploads, "half of the hosts lost in a surge: unknown flows are forwarded and count as load")
{
    std::vector<FlowPacket> moved;
    for (std::uint16_t port = 1000; port < 1010; ++port) {
        moved.push_back(firstPacket(port, uploadPort));
        CHECK(handle(subsequentPacket(moved.back(), 0x11, 9000, 1200, 500)).action == SteeringAction::Forward);
    }
    CHECK(steering.admissionMetrics().bulkFlows == 10);
    start();
    CHECK(steering.admissionMetrics().waiting == 1);
    for (const FlowPacket& first : moved)
        handle(subsequentPacket(first, 0x11, 10'200, 300, 500));
    run(Duration(200));
    CHECK(total(done) == 1);
    checkRecovery();
}

TEST_CASE_FIXTURE(Uploads, "link cut to a third: one upload at a time, and recovery when the link is back")
{
    linkRate = pacedBytesPerSecond / 3;
    steering.setLinkState(makeLinkState(false, linkRate));
    for (int upload = 0; upload < 40; ++upload) {
        start();
        run(Duration(110));
    }
    CHECK(most == 1);
    CHECK(slowest <= objective);
    CHECK(longestRefusal <= objective / 4 + tick);
    linkRate = pacedBytesPerSecond;
    steering.setLinkState(makeLinkState(false));
    checkRecovery();
}

TEST_CASE_FIXTURE(
    SteeringFixture, "surge of all: lookups of the lowest priority are refused first, but not all of them")
{
    RoutingDocument document = makeDocument(2);
    document.routes.push_back(makeRoute(444, RequestKind::Idempotent, 2, Duration(400)));
    steering.installDocument(document);
    LinkState state = makeLinkState(false);
    const auto admitted = [&](std::uint16_t servicePort, Duration urgentDelay) {
        state.urgentDelay = urgentDelay;
        steering.setLinkState(state);
        int count = 0;
        for (std::uint16_t port = 1; port <= 40; ++port) {
            const std::uint16_t clientPort = port + static_cast<std::uint16_t>(urgentDelay.count() * 40);
            count += handle(firstPacket(clientPort, servicePort)).action == SteeringAction::Forward ? 1 : 0;
        }
        return count;
    };
    CHECK(admitted(444, Duration(99)) == 40);
    CHECK(admitted(444, Duration(150)) == 5);
    CHECK(admitted(lookupPort, Duration(150)) == 40);
    CHECK(admitted(lookupPort, Duration(400)) == 5);
    CHECK(admitted(444, Duration(10)) == 40);
}

TEST_CASE_FIXTURE(Uploads, "bulk surge: a first packet is refused only if no host can have forwarded it")
{
    for (int upload = 0; upload < 4; ++upload)
        start(uploadPort, clientAddress, false);
    CHECK(steering.admissionMetrics().waiting == 1);
    // The fabric may have given the original of this one to another host.
    CHECK(handle(firstPacket(900, uploadPort, 1)).action == SteeringAction::Forward);
    // A retransmission of a waiting first packet keeps its place.
    CHECK(handle(firstPacket(4, uploadPort, 1)).action == SteeringAction::Wait);
    CHECK(steering.admissionMetrics().waiting == 1);
    // The first packet of an admitted flow has been forwarded.
    CHECK(handle(firstPacket(1, uploadPort, 1)).action == SteeringAction::Forward);
}

TEST_CASE_FIXTURE(Uploads, "a waiting flow is not reset if its retransmission may have gone to another host")
{
    for (int upload = 0; upload < 3; ++upload)
        start(uploadPort, clientAddress);
    handle(firstPacket(900, uploadPort));
    handle(firstPacket(901, uploadPort));
    clock.advance(Duration(100));
    for (const auto& [flow, upload] : uploads)
        handle(subsequentPacket(upload.first, upload.cookie, 1001, 1200, 500));
    clock.advance(Duration(100));
    handle(firstPacket(901, uploadPort, 1));
    clock.advance(Duration(100));
    const std::vector<FlowRelease> releases = steering.takeReleases(clock.now());
    REQUIRE(releases.size() == 2);
    CHECK(releases[0].decision.action == SteeringAction::Drop);
    CHECK(releases[1].decision.action == SteeringAction::Reset);
    // The retransmission has come here after all, so a refusal is true.
    CHECK(handle(firstPacket(900, uploadPort, 1)).action == SteeringAction::Reset);
}

TEST_CASE_FIXTURE(Uploads, "bulk surge: no flow is reset after a copy of its first packet has gone to another host")
{
    RoutingDocument document = makeDocument(2);
    document.routes.push_back(makeRoute(82, RequestKind::Upload, 1, Duration(4000)));
    steering.installDocument(document);
    for (int upload = 0; upload < 3; ++upload)
        start();
    for (std::uint16_t port = 900; port < 903; ++port)
        CHECK(handle(firstPacket(port, 82)).action == SteeringAction::Wait);
    handle(firstPacket(910, uploadPort));
    holdRoom(Duration(200));
    handle(firstPacket(900, 82, 1));
    handle(firstPacket(901, 82, 1));
    holdRoom(Duration(100));
    REQUIRE(steering.takeReleases(clock.now()).size() == 1);
    holdRoom(Duration(300));
    handle(firstPacket(900, 82, 2));
    handle(firstPacket(902, 82, 2));
    // Copy 1 of the dropped flow may have been forwarded by another host.
    CHECK(handle(firstPacket(910, uploadPort, 2)).action == SteeringAction::Forward);
    holdRoom(Duration(400));
    const std::vector<FlowRelease> releases = steering.takeReleases(clock.now());
    REQUIRE(releases.size() == 3);
    CHECK(releases[0].decision.action == SteeringAction::Reset);
    CHECK(releases[1].decision.action == SteeringAction::Drop);
    CHECK(releases[2].decision.action == SteeringAction::Drop);
    CHECK(handle(firstPacket(902, 82, 2)).action == SteeringAction::Forward);
}

TEST_CASE_FIXTURE(Uploads, "bulk surge: routes of one priority share the room, whatever their objectives")
{
    RoutingDocument document = makeDocument(2);
    document.routes.push_back(makeRoute(82, RequestKind::Upload, 1, Duration(900)));
    steering.installDocument(document);
    for (std::uint32_t upload = 0; upload < 200; ++upload) {
        start(uploadPort, clientAddress + 2 * upload);
        start(82, clientAddress + 2 * upload + 1);
        run(Duration(40));
    }
    std::map<std::uint16_t, int> byRoute;
    for (const auto& [key, count] : done)
        byRoute[key.second] += count;
    CHECK(byRoute[uploadPort] >= 45);
    CHECK(byRoute[82] >= 45);
}

TEST_CASE_FIXTURE(Uploads, "waiting flows are placed when the document has no more upload routes")
{
    for (int upload = 0; upload < 4; ++upload)
        start(uploadPort, clientAddress, false);
    REQUIRE(steering.nextRelease() > clock.now());
    RoutingDocument document = makeDocument(2);
    for (Route& route : document.routes)
        route.kind = RequestKind::Idempotent;
    steering.installDocument(std::move(document));
    CHECK(steering.nextRelease() <= clock.now());
    const std::vector<FlowRelease> releases = steering.takeReleases(clock.now());
    REQUIRE(releases.size() == 1);
    CHECK(releases[0].decision.action == SteeringAction::Forward);
    CHECK_FALSE(steering.nextRelease());
}

TEST_CASE_FIXTURE(Uploads, "a route without uploads needs room once its requests are large")
{
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = handle(first).cookie;
    for (std::uint32_t sequence = 1001; sequence < 1001 + 6000; sequence += dataPerPacket)
        handle(subsequentPacket(first, cookie, sequence, dataPerPacket, 500));
    CHECK(steering.admissionMetrics().bulkFlows == 0);
    handle(subsequentPacket(first, cookie, 7001, 0, 600));
    handle(firstPacket(2, lookupPort));
    CHECK(steering.admissionMetrics().bulkFlows == 1);
    CHECK(steering.admissionMetrics().claimedBytes == 6000);
}

TEST_CASE_FIXTURE(Uploads, "unresponsive targets in a surge: flows that are reset do not keep the room")
{
    const FlowPacket first = firstPacket(1, uploadPort);
    const Cookie cookie = handle(first).cookie;
    handle(subsequentPacket(first, cookie, 1001, dataPerPacket, 500));
    REQUIRE(steering.admissionMetrics().bulkFlows == 1);
    for (const char* id : { "i-11", "i-12", "i-13" })
        steering.updateTarget(makeTarget(id, schema::TARGET_GONE), clock.now());
    clock.advance(Duration(300));
    CHECK(handle(subsequentPacket(first, cookie, 2201, dataPerPacket, 500)).action == SteeringAction::Reset);
    CHECK(steering.admissionMetrics().bulkFlows == 0);
    // No target is left, so placement refuses the flow after admission.
    CHECK(handle(firstPacket(2, uploadPort)).action == SteeringAction::Reset);
    CHECK(steering.admissionMetrics().bulkFlows == 0);
}

TEST_CASE_FIXTURE(Uploads, "unresponsive targets in a surge: flows of an unreachable target do not keep the room")
{
    teachLargeLookups();
    std::vector<FlowPacket> flows;
    for (std::uint16_t port = 11; port < 17; ++port) {
        flows.push_back(firstPacket(port, lookupPort));
        const Cookie cookie = handle(flows.back()).cookie;
        handle(subsequentPacket(flows.back(), cookie, 1001, 0, 500));
        handle(subsequentPacket(flows.back(), cookie, 1001, dataPerPacket, 500));
    }
    const Cookie cookie = openAndSendRequest(firstPacket(20, lookupPort));
    const std::size_t before = steering.admissionMetrics().bulkFlows;
    clock.advance(Duration(200));
    handle(subsequentPacket(firstPacket(20, lookupPort), cookie, 1001, 100, 500));
    REQUIRE(probe(cookie, ProbeOutcome::Refused));
    const std::size_t resets = steering.takeResets(idOf(cookie)).size();
    REQUIRE(resets > 1);
    CHECK(steering.admissionMetrics().bulkFlows + resets == before);
}

TEST_CASE_FIXTURE(
    Uploads, "half of the hosts lost in a surge: requests sent through another host are not one large one")
{
    for (const bool wasQuiet : { false, true }) {
        const FlowPacket first = firstPacket(wasQuiet ? 2 : 1, lookupPort);
        const Cookie cookie = handle(first).cookie;
        handle(subsequentPacket(first, cookie, 1001, 500, 500));
        clock.advance(wasQuiet ? Duration(600) : Duration(100));
        const std::uint32_t gap = wasQuiet ? 15'000 : 20'000;
        // The rest of a request whose beginning went through the other host says nothing about the size of requests.
        std::uint32_t sequence = 1501 + gap;
        for (int packet = 0; packet < 20; ++packet, sequence += dataPerPacket)
            handle(subsequentPacket(first, cookie, sequence, dataPerPacket, 900));
        handle(subsequentPacket(first, cookie, sequence, 0, 1300));
        handle(firstPacket(wasQuiet ? 4 : 3, lookupPort));
        CHECK(steering.admissionMetrics().bulkFlows == 0);
    }
}

TEST_CASE_FIXTURE(Uploads, "flows from before a pause of admission do not keep the room after it")
{
    start(uploadPort, clientAddress, false);
    RoutingDocument document = makeDocument(2);
    for (Route& route : document.routes)
        route.kind = RequestKind::Idempotent;
    steering.installDocument(std::move(document));
    steering.takeReleases(clock.now());
    steering.installDocument(makeDocument(3));
    CHECK(steering.admissionMetrics().bulkFlows == 0);
}

TEST_CASE("half of the hosts lost in a surge: packets of ended or silent flows do not fill the table of flows")
{
    BulkFlows flows(1);
    const auto route = std::make_shared<RouteDemand>(RequestKind::Upload);
    const TimePoint begin {};
    const FlowPacket unknown = firstPacket(1, uploadPort);
    flows.observe(subsequentPacket(unknown, 0x11, 9000, 0, 500), route, begin);
    flows.open(firstPacket(2, uploadPort).flow, route, begin);
    CHECK(flows.claimCount() == 1);
    // A flow that its target does not answer leaves the table after 2 s, not after 30 s.
    const TimePoint later = begin + Duration(2000);
    flows.expireClaims(later);
    flows.expireFlows(later);
    flows.open(firstPacket(3, uploadPort).flow, route, later);
    CHECK(flows.claimCount() == 1);
}

TEST_CASE_FIXTURE(
    Uploads, "half of the hosts lost in a surge: a flow that is open through another host waits no longer")
{
    for (int upload = 0; upload < 4; ++upload)
        start(uploadPort, clientAddress, false);
    REQUIRE(steering.admissionMetrics().waiting == 1);
    const FlowPacket waiting = firstPacket(4, uploadPort);
    CHECK(handle(subsequentPacket(waiting, 0x11, 1001, dataPerPacket, 500)).action == SteeringAction::Forward);
    CHECK(steering.admissionMetrics().waiting == 0);
    CHECK(steering.nextRelease() <= clock.now());
    const std::vector<FlowRelease> releases = steering.takeReleases(clock.now());
    REQUIRE(releases.size() == 1);
    CHECK(releases[0].packet.flow == waiting.flow);
    CHECK(releases[0].decision.action == SteeringAction::Drop);
    CHECK_FALSE(steering.nextRelease());
}

TEST_CASE_FIXTURE(SteeringFixture, "surge of all: no small flow waits behind others for longer than a retransmission")
{
    RoutingDocument document = makeDocument(2);
    document.routes.push_back(makeRoute(444, RequestKind::Idempotent, 2, Duration(4000)));
    steering.installDocument(document);
    LinkState state = makeLinkState(false);
    std::uint16_t clientPort = 0;
    for (const auto& [delay, admitted] : { std::pair(199, 40), std::pair(220, 5) }) {
        state.urgentDelay = Duration(delay);
        steering.setLinkState(state);
        int count = 0;
        for (int flow = 0; flow < 40; ++flow)
            count += handle(firstPacket(++clientPort, 444)).action == SteeringAction::Forward ? 1 : 0;
        CHECK(count == admitted);
    }
}
