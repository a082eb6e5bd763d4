#include "standins/backend/announcer.h"

#include "libbergamotio/http_client.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/json_schema.h"

#include <utility>

namespace bergamotroute {

namespace {

    constexpr Duration answerLimit { 500 };
    constexpr Duration retryDelay { 200 };
    constexpr unsigned renewalsPerLease = 3;

}

Announcer::Announcer(EventLoop& loop, std::vector<std::string> hosts, std::function<schema::Announcement()> make)
    : m_loop(loop)
    , m_hosts(std::move(hosts))
    , m_make(std::move(make))
    , m_timer(loop, [this] { announce(); })
{
}

void Announcer::announce()
{
    if (m_hosts.empty())
        return;
    send(m_make(), [this](bool accepted) { handleAnswer(accepted); });
}

void Announcer::withdraw(std::function<void()> handler)
{
    m_timer.stop();
    schema::Announcement announcement = m_make();
    announcement.set_state(schema::GONE);
    send(announcement, [handler = std::move(handler)](bool) { handler(); });
}

void Announcer::send(const schema::Announcement& announcement, std::function<void(bool accepted)> handler)
{
    const std::string url = "http://" + m_hosts[m_current] + "/v1/announce";
    sendHttpRequest(m_loop, "POST", url, toJson(announcement, false), answerLimit,
        [handler = std::move(handler)](
            const HttpAnswer& answer) { handler(answer.status == static_cast<int>(HttpStatus::Ok)); });
}

void Announcer::handleAnswer(bool accepted)
{
    if (accepted) {
        m_timer.start(std::chrono::seconds(m_make().lease_seconds()) / renewalsPerLease);
        return;
    }
    m_current = (m_current + 1) % m_hosts.size();
    m_timer.start(retryDelay);
}

}
