#pragma once

/// @file
/// Real steering of many entry hosts before fake targets, driven by events on a paused clock, for tests of decisions
/// under load.

#include "bergamotroute/cookie_steering.h"

#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bergamotroute::deploymenttest {

inline constexpr std::uint32_t serviceAddress = 0xc6120001;
inline constexpr std::uint16_t servicePort = 443;
inline constexpr Duration objective { 600 };
inline constexpr Duration checkInterval { 250 };
inline constexpr Duration remoteReportInterval { 900 };

inline std::uint64_t parseTargetNumber(std::string_view id)
{
    return std::stoull(std::string(id.substr(2)), nullptr, 16);
}

/// A backend server: requests take turns on its slots, wait in its queue, or are refused.
struct FakeTarget {
    RegisteredTarget registered;
    std::uint32_t slots = 2;
    std::size_t queueCapacity = 8;
    double slowdown = 1;
    std::uint32_t busySlots = 0;
    std::deque<std::function<void()>> queue;
    int requests = 0;
    int requestsOfOtherDataCentre = 0;
};

/// Requests that took longer than the objective, and requests that a full target refused.
struct Outcome {
    int late = 0;
    int refused = 0;
};

struct Setup {
    bool learns = true;
    int dataCentres = 1;
    int hostsPerDataCentre = 28;
    int targetsPerDataCentre = 40;
    /// Spread of the request length (natural logarithm), share of long requests and their length.
    double spread = 0.5;
    double longShare = 0;
    double longFactor = 7;
    unsigned seed = 1;
    std::size_t queueCapacity = 8;
    /// Interval between reports to each host of the same group, or of the data centre if there are no groups.
    Duration groupReportInterval { 150 };
    /// Entry hosts in a group of targets; zero for no groups.
    std::size_t hostsPerGroup = 0;
    /// Interval between reports to each other host of the data centre.
    Duration otherLocalReportInterval { 1200 };
};

/// Real steering of several hosts before fake targets. Messages take no time unless a path is slow.
class Deployment {
public:
    explicit Deployment(Setup setup)
        : m_setup(setup)
    {
        for (int i = 0; i < setup.dataCentres * setup.targetsPerDataCentre; ++i)
            addTarget(i);
        for (int i = 0; i < setup.dataCentres * setup.hostsPerDataCentre; ++i)
            hosts.push_back(makeHost(i, "entry-" + std::to_string(i)));
        for (int host = 0; host < static_cast<int>(hosts.size()); ++host) {
            every(checkInterval, [this, host] { hosts[host]->advance(clock.now()); });
            every(setup.groupReportInterval, [this, host] { sendReport(host, Recipients::Group); });
            if (setup.hostsPerGroup > 0)
                every(setup.otherLocalReportInterval, [this, host] { sendReport(host, Recipients::OtherLocal); });
            every(remoteReportInterval, [this, host] { sendReport(host, Recipients::Remote); });
        }
        isRunning.assign(hosts.size(), true);
        listHosts();
    }

    /// Gives all hosts a list of those that run.
    void listHosts()
    {
        std::vector<EntryHostLocation> list;
        for (int host = 0; host < static_cast<int>(hosts.size()); ++host) {
            if (isRunning[host])
                list.push_back(locationOf(host));
        }
        for (auto& host : hosts)
            host->setEntryHosts(list);
    }

    EntryHostLocation locationOf(int host) const
    {
        return { "entry-" + std::to_string(host), dataCentreOf(host, m_setup.hostsPerDataCentre) };
    }

    std::unique_ptr<CookieSteering> makeHost(int index, std::string name)
    {
        CookieSteeringOptions options;
        options.host = std::move(name);
        options.dataCentre = dataCentreOf(index, m_setup.hostsPerDataCentre);
        options.targetNumberOf = parseTargetNumber;
        options.learnCapacity = m_setup.learns;
        options.hostsPerGroup = m_setup.hostsPerGroup;
        auto host = std::make_unique<CookieSteering>(options);
        RoutingDocument document;
        document.version = 1;
        document.services = { "orders" };
        Route& route = document.routes.emplace_back();
        route.address = serviceAddress;
        route.port = servicePort;
        route.services = { { "orders", 1 } };
        host->installDocument(document);
        for (const auto& target : targets)
            host->updateTarget(target->registered, clock.now());
        return host;
    }

    /// Runs requests of 40 ms at random times.
    void run(Duration duration, double requestsPerSecond)
    {
        const TimePoint end = clock.now() + duration;
        std::exponential_distribution<double> gap(requestsPerSecond / 1000);
        double next = 0;
        const TimePoint begin = clock.now();
        while ((next += gap(m_random)) < static_cast<double>(duration.count()))
            at(begin + Duration(static_cast<Duration::rep>(next)), [this] { startRequest(); });
        while (!m_events.empty() && m_events.begin()->first < end) {
            clock.advance(m_events.begin()->first - clock.now());
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        clock.advance(end - clock.now());
    }

    void setSlowdown(int first, int count, double slowdown)
    {
        for (int i = first; i < first + count; ++i)
            targets[i]->slowdown = slowdown;
    }

    /// Runs requests.
    /// @return the largest slowness of a target as the first host sees it meanwhile.
    double maxSlowness(int target, Duration duration, double requestsPerSecond)
    {
        double largest = 0;
        for (const TimePoint end = clock.now() + duration; clock.now() < end;) {
            run(Duration(100), requestsPerSecond);
            largest = std::max(largest, slowness(target));
        }
        return largest;
    }

    /// Runs requests.
    /// @return number of those that a target gets.
    int flowsOf(int target, Duration duration, double requestsPerSecond)
    {
        const int before = targets[target]->requests;
        run(duration, requestsPerSecond);
        return targets[target]->requests - before;
    }

    /// @return number of requests for each target if all get the same.
    double fairShare(Duration duration, double requestsPerSecond) const
    {
        return std::chrono::duration<double>(duration).count() * requestsPerSecond
            / static_cast<double>(targets.size());
    }

    /// @return the slowness of a target as a host sees it.
    double slowness(int target, int host = 0) const { return slowness(target, *hosts[host]); }
    double slowness(int target, const CookieSteering& host) const { return find(target, host).slowness(); }
    schema::TargetCapacityState find(int target, const CookieSteering& host) const
    {
        const auto page = host.targetCapacities(clock.now());
        return *std::find_if(page.targets().begin(), page.targets().end(),
            [this, target](const auto& item) { return item.target() == targets[target]->registered.record.id(); });
    }

    schema::TargetLoadReport makeReport(int host, Duration period)
    {
        schema::TargetLoadReport report = hosts[host]->makeReport();
        hosts[host]->setEvidence(report, clock.now() - period, clock.now());
        report.set_valid_ms(1500);
        return report;
    }

    ManualClock clock;
    std::vector<std::unique_ptr<FakeTarget>> targets;
    std::vector<std::unique_ptr<CookieSteering>> hosts;
    /// Hosts that get flows and reports, and send reports.
    std::vector<bool> isRunning;
    Outcome outcome;
    /// Changes a host's report before it is sent.
    std::function<void(int host, schema::TargetLoadReport& report)> falsify;
    /// Extra time on the path between a host's clients and a target.
    std::function<Duration(int host, int target)> pathDelay;

private:
    enum class Recipients { Group, OtherLocal, Remote };

    static std::string dataCentreOf(int index, int perDataCentre)
    {
        return { static_cast<char>('a' + index / perDataCentre) };
    }

    void at(TimePoint time, std::function<void()> action) { m_events.emplace(time, std::move(action)); }

    /// Starts at a random time, so that hosts don't act all at once.
    void every(Duration interval, const std::function<void()>& action)
    {
        repeat(Duration(static_cast<Duration::rep>(m_random() % interval.count())), interval, action);
    }

    void repeat(Duration delay, Duration interval, const std::function<void()>& action)
    {
        at(clock.now() + delay, [this, interval, action] {
            action();
            repeat(interval, interval, action);
        });
    }

    void addTarget(int index)
    {
        std::array<char, 16> id {};
        std::snprintf(id.data(), id.size(), "i-%x", 0x100 + index);
        auto target = std::make_unique<FakeTarget>();
        target->queueCapacity = m_setup.queueCapacity;
        schema::TargetRecord& record = target->registered.record;
        record.set_id(id.data());
        record.set_service("orders");
        record.set_endpoint("10.0.0.1:" + std::to_string(1000 + index));
        record.set_data_centre(dataCentreOf(index, m_setup.targetsPerDataCentre));
        record.set_slots(target->slots);
        record.set_born_ms(1);
        targets.push_back(std::move(target));
    }

    Duration intervalOf(Recipients recipients) const
    {
        if (recipients == Recipients::Remote)
            return remoteReportInterval;
        return recipients == Recipients::Group ? m_setup.groupReportInterval : m_setup.otherLocalReportInterval;
    }

    bool isRecipient(int from, int to, Recipients recipients) const
    {
        const bool isLocal = locationOf(from).dataCentre == locationOf(to).dataCentre;
        const bool isMember = hosts[from]->isGroupMember(locationOf(to));
        if (recipients == Recipients::Remote)
            return !isLocal;
        return isLocal && isMember == (recipients == Recipients::Group);
    }

    void sendReport(int from, Recipients recipients)
    {
        if (!isRunning[from])
            return;
        schema::TargetLoadReport report = makeReport(from, intervalOf(recipients));
        if (falsify)
            falsify(from, report);
        for (int to = 0; to < static_cast<int>(hosts.size()); ++to) {
            if (to != from && isRunning[to] && isRecipient(from, to, recipients))
                hosts[to]->handleReport(report, clock.now());
        }
    }

    void startRequest()
    {
        int host = static_cast<int>(m_random() % hosts.size());
        while (!isRunning[host])
            host = static_cast<int>(m_random() % hosts.size());
        FlowPacket packet;
        packet.flow = { ++m_lastClient, serviceAddress, 4000, servicePort };
        packet.syn = true;
        packet.sequence = 1000;
        packet.cookie = hosts[host]->handlePacket(packet, clock.now()).cookie;
        packet.syn = false;
        packet.ack = true;
        packet.sequence = 1001;
        packet.acknowledgement = 1;
        hosts[host]->handlePacket(packet, clock.now());
        packet.payloadBytes = 200;
        hosts[host]->handlePacket(packet, clock.now());
        submit(host, packet);
    }

    void submit(int host, const FlowPacket& packet)
    {
        const int index = static_cast<int>(packet.cookie) - 0x100;
        FakeTarget& target = *targets[index];
        ++target.requests;
        const bool isLocal = index / m_setup.targetsPerDataCentre == host / m_setup.hostsPerDataCentre;
        target.requestsOfOtherDataCentre += isLocal ? 0 : 1;
        if (target.busySlots >= target.slots && target.queue.size() >= target.queueCapacity) {
            ++outcome.refused;
            at(clock.now() + Duration(2), [this, host, packet] { finish(host, packet, 300); });
            return;
        }
        std::lognormal_distribution<double> length(0, m_setup.spread);
        const bool isLong = std::uniform_real_distribution<>()(m_random) < m_setup.longShare;
        const double work = 40 * length(m_random) * (isLong ? m_setup.longFactor : 1);
        const TimePoint begin = clock.now();
        target.queue.emplace_back([this, host, packet, work, begin, &target, index] {
            at(clock.now() + Duration(static_cast<Duration::rep>(work * target.slowdown)),
                [this, host, packet, begin, &target, index] {
                    const Duration delay = pathDelay ? pathDelay(host, index) : Duration(0);
                    outcome.late += clock.now() + delay - begin > objective ? 1 : 0;
                    at(clock.now() + delay, [this, host, packet] { finish(host, packet, 6000); });
                    --target.busySlots;
                    startQueued(target);
                });
        });
        startQueued(target);
    }

    static void startQueued(FakeTarget& target)
    {
        while (target.busySlots < target.slots && !target.queue.empty()) {
            ++target.busySlots;
            const auto start = std::move(target.queue.front());
            target.queue.pop_front();
            start();
        }
    }

    /// The client acknowledges every second packet of the response and closes the flow.
    void finish(int host, FlowPacket packet, std::uint32_t responseBytes)
    {
        packet.sequence += packet.payloadBytes;
        packet.payloadBytes = 0;
        for (std::uint32_t received = 2400; received < responseBytes; received += 2400) {
            packet.acknowledgement = 1 + received;
            hosts[host]->handlePacket(packet, clock.now());
        }
        packet.acknowledgement = 1 + responseBytes;
        packet.fin = true;
        hosts[host]->handlePacket(packet, clock.now());
    }

    Setup m_setup;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::mt19937 m_random { m_setup.seed };
    std::uint32_t m_lastClient = 0x64400000;
};

}
