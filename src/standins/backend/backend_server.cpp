#include "standins/backend/backend_server.h"

#include "standins/common/traffic_identity.h"

#include <algorithm>
#include <charconv>

namespace bergamotroute {

namespace {

    constexpr Duration sampleInterval { 100 };
    constexpr std::uint64_t defaultDocumentBytes = 1000;
    constexpr std::uint64_t mostDocumentBytes = 8 * 1024 * 1024;

    std::uint64_t number(const std::string& text, std::uint64_t fallback)
    {
        std::uint64_t value = 0;
        const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
        return status == std::errc() && end == text.data() + text.size() ? value : fallback;
    }

}

/// A long feed: numbered lines at an interval.
struct BackendServer::Feed {
    Exchange exchange;
    std::string identity;
    std::uint64_t lines = 0;
    std::uint64_t sent = 0;
    Duration interval { 0 };
};

BackendServer::BackendServer(EventLoop& loop, BackendOptions options, std::function<void()> changed)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_changed(std::move(changed))
    , m_application(loop)
    , m_platform(loop)
    , m_slots(m_options.slots, m_options.queueLimit)
    , m_started(loop.now())
    , m_sampler(loop, [this] { sampleLoad(); })
{
    if (!m_options.journal.empty())
        m_journal.open(m_options.journal, std::ios::app);
    addApplicationRoutes();
    addPlatformRoutes();
    sampleLoad();
}

std::error_code BackendServer::open(const Endpoint& platform)
{
    std::error_code error;
    if ((error = m_platform.listen(platform)))
        return error;
    return m_application.listen(Endpoint::parse("127.0.0.1:0", error));
}

void BackendServer::drain()
{
    if (m_state == schema::DRAINING)
        return;
    m_state = schema::DRAINING;
    m_changed();
}

void BackendServer::addApplicationRoutes()
{
    m_application.route("GET", "/document", HttpAccess::Open, [this](const Exchange& exchange) {
        const std::uint64_t bytes = std::min(number(exchange->query("bytes"), defaultDocumentBytes), mostDocumentBytes);
        const std::string identity = exchange->query("id");
        runInSlot(exchange, [identity, bytes] { return documentBody(identity, bytes); });
    });
    m_application.route("POST", "/order", HttpAccess::Open, [this](const Exchange& exchange) {
        const std::string identity = exchange->query("id");
        runInSlot(exchange, [this, identity] { return recordOrder(identity); });
    });
    m_application.route("GET", "/feed", HttpAccess::Open, [this](const Exchange& exchange) { startFeed(exchange); });
}

void BackendServer::addCommonHeaders(const Exchange& exchange) const
{
    exchange->addHeader("Bergamot-Backend", m_options.name);
    if (m_state == schema::DRAINING)
        exchange->addHeader("Connection", "close");
}

void BackendServer::runInSlot(const Exchange& exchange, const std::function<std::string()>& work)
{
    const std::uint64_t limit = number(exchange->header("Deadline-Ms"), 0);
    SlotJob job;
    const auto id = std::make_shared<std::uint64_t>(0);
    job.run = [this, exchange, work, id] {
        // The identifier is known only after submit() has returned.
        after(Duration(0), [this, exchange, work, id] { startWork(exchange, work, *id); });
    };
    job.expire = [this, exchange] {
        addCommonHeaders(exchange);
        exchange->reply(HttpStatus::GatewayTimeout, "not run: deadline passed in the queue\n");
    };
    if (limit > 0)
        job.deadline = m_loop.now() + Duration(limit);
    *id = m_slots.submit(std::move(job), m_loop.now());
    if (*id == 0) {
        ++m_shed;
        addCommonHeaders(exchange);
        exchange->reply(HttpStatus::ServiceUnavailable, "not run: shed\n");
        return;
    }
    // A request that its client cancels leaves its slot or the queue.
    exchange->onClosed([this, id] { m_slots.release(*id, m_loop.now()); });
}

void BackendServer::startWork(const Exchange& exchange, const std::function<std::string()>& work, std::uint64_t id)
{
    if (exchange->isClosed())
        return;
    const std::string body = work();
    after(currentServiceTime(), [this, exchange, body, id] {
        m_slots.release(id, m_loop.now());
        addCommonHeaders(exchange);
        exchange->reply(HttpStatus::Ok, body);
    });
}

std::string BackendServer::recordOrder(const std::string& identity)
{
    m_journal << identity << std::endl;
    return "ordered " + identity + '\n';
}

void BackendServer::startFeed(const Exchange& exchange)
{
    auto feed = std::make_shared<Feed>();
    feed->exchange = exchange;
    feed->identity = exchange->query("id");
    feed->lines = number(exchange->query("lines"), 10);
    feed->interval = Duration(number(exchange->query("interval_ms"), 100));
    ++m_feeds;
    addCommonHeaders(exchange);
    exchange->beginParts(HttpStatus::Ok);
    continueFeed(feed);
}

void BackendServer::continueFeed(const std::shared_ptr<Feed>& feed)
{
    if (feed->exchange->isClosed() || feed->sent == feed->lines) {
        feed->exchange->endParts();
        --m_feeds;
        return;
    }
    feed->exchange->sendPart(feed->identity + ' ' + std::to_string(feed->sent++) + '\n');
    after(feed->interval, [this, feed] { continueFeed(feed); });
}

void BackendServer::addPlatformRoutes()
{
    m_platform.route("GET", "/health", HttpAccess::Open, [this](const Exchange& exchange) { answerHealth(exchange); });
    m_platform.route("GET", "/load", HttpAccess::Open, [this](const Exchange& exchange) { answerLoad(exchange); });
    m_platform.route("POST", "/drain", HttpAccess::Open, [this](const Exchange& exchange) {
        drain();
        exchange->reply(HttpStatus::Ok, "draining\n");
    });
    m_platform.route("POST", "/health", HttpAccess::Open, [this](const Exchange& exchange) {
        m_healthy = exchange->query("set") != "bad";
        exchange->reply(HttpStatus::Ok, "ok\n");
    });
    m_platform.route("GET", "/counters", HttpAccess::Open, [this](const Exchange& exchange) {
        exchange->reply(HttpStatus::Ok,
            "feeds " + std::to_string(m_feeds) + "\nshed " + std::to_string(m_shed) + "\nconnections "
                + std::to_string(m_countConnections ? m_countConnections() : 0) + '\n');
    });
}

void BackendServer::answerHealth(const Exchange& exchange)
{
    after(m_options.healthLag, [this, exchange] {
        exchange->reply(m_healthy ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, m_healthy ? "ok\n" : "bad\n");
    });
}

void BackendServer::sampleLoad()
{
    schema::LoadReport report;
    report.set_open_connections(m_countConnections ? m_countConnections() : 0);
    report.set_busy_slots(m_slots.busySlots());
    report.set_queued(m_slots.queued());
    report.set_time_ms(m_loop.wallMilliseconds());
    m_reports.push_back(report);
    const auto kept = static_cast<std::size_t>(m_options.loadLag / sampleInterval) + 1;
    while (m_reports.size() > kept)
        m_reports.pop_front();
    m_sampler.start(sampleInterval);
}

void BackendServer::answerLoad(const Exchange& exchange) const
{
    schema::LoadReport report = m_reports.front();
    if (m_options.loadLie != LoadLie::None) {
        const bool isIdle = m_options.loadLie == LoadLie::Idle;
        report.set_open_connections(isIdle ? 0 : report.open_connections());
        report.set_busy_slots(isIdle ? 0 : m_options.slots);
        report.set_queued(isIdle ? 0 : m_options.queueLimit);
        report.set_time_ms(m_loop.wallMilliseconds());
    }
    exchange->replyJson(HttpStatus::Ok, report);
}

void BackendServer::after(Duration delay, std::function<void()> work)
{
    const std::uint64_t id = ++m_lastTimer;
    auto timer = std::make_unique<Timer>(m_loop, [this, id, work = std::move(work)] {
        m_timers.erase(id);
        work();
    });
    timer->start(delay);
    m_timers[id] = std::move(timer);
}

Duration BackendServer::currentServiceTime() const
{
    const bool isCold = m_loop.now() - m_started < m_options.coldTime;
    return isCold ? m_options.serviceTime * m_options.coldFactor : m_options.serviceTime;
}

}
