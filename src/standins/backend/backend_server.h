#pragma once

/// @file
/// HTTP behaviour of a backend server: documents, orders with a journal, long feeds, slots, draining, health and load.

#include "libbergamotio/http_server.h"
#include "standins/backend/slot_queue.h"

#include "announcement.pb.h"

#include <deque>
#include <fstream>
#include <map>
#include <string>

namespace bergamotroute {

/// How the load endpoint misleads.
enum class LoadLie {
    None,
    /// Always reports no load.
    Idle,
    /// Always reports full slots.
    Busy,
};

/// Behaviour of one backend server.
struct BackendOptions {
    std::string name;
    std::string journal;
    std::uint32_t slots = 2;
    std::uint32_t queueLimit = 100;
    /// Time for which a document or an order holds a slot.
    Duration serviceTime { 5 };
    /// Time after the start in which a request takes coldFactor times as long.
    Duration coldTime { 0 };
    std::uint32_t coldFactor = 4;
    LoadLie loadLie = LoadLie::None;
    /// Age of the reports that the load endpoint gives.
    Duration loadLag { 0 };
    /// Time by which the health endpoint answers late.
    Duration healthLag { 0 };
};

/// Serves requests. Connections arrive through an ordinary loopback socket that the TCP endpoint connects to.
class BackendServer {
public:
    /// @param changed called when the announced state changes.
    BackendServer(EventLoop& loop, BackendOptions options, std::function<void()> changed);

    /// Opens the application listener and the platform listener with health, load and control.
    std::error_code open(const Endpoint& platform);

    Endpoint application() const { return m_application.local(); }
    Endpoint platform() const { return m_platform.local(); }
    schema::BackendState state() const { return m_state; }

    /// Starts draining: the state is announced and answers close their connections.
    void drain();

    /// Tells how many connections are open; asked for load reports.
    void setConnectionCounter(std::function<std::uint32_t()> counter) { m_countConnections = std::move(counter); }

private:
    using Exchange = std::shared_ptr<HttpExchange>;
    struct Feed;

    void addApplicationRoutes();
    void addPlatformRoutes();
    void runInSlot(const Exchange& exchange, const std::function<std::string()>& work);
    void startWork(const Exchange& exchange, const std::function<std::string()>& work, std::uint64_t id);
    std::string recordOrder(const std::string& identity);
    void startFeed(const Exchange& exchange);
    void continueFeed(const std::shared_ptr<Feed>& feed);
    void answerHealth(const Exchange& exchange);
    void sampleLoad();
    void answerLoad(const Exchange& exchange) const;
    /// Adds the headers that every answer carries.
    void addCommonHeaders(const Exchange& exchange) const;
    /// Runs a function once after a delay.
    void after(Duration delay, std::function<void()> work);
    Duration currentServiceTime() const;

    EventLoop& m_loop;
    BackendOptions m_options;
    std::function<void()> m_changed;
    std::function<std::uint32_t()> m_countConnections;
    HttpServer m_application;
    HttpServer m_platform;
    SlotQueue m_slots;
    std::ofstream m_journal;
    TimePoint m_started;
    schema::BackendState m_state = schema::READY;
    bool m_healthy = true;
    std::uint64_t m_feeds = 0;
    std::uint64_t m_shed = 0;
    std::deque<schema::LoadReport> m_reports;
    Timer m_sampler;
    std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
    std::uint64_t m_lastTimer = 0;
};

}
