#include "standins/load/load_flow.h"

#include "standins/common/traffic_identity.h"

#include <utility>

namespace bergamotroute {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusShed = 503;
    constexpr int statusExpired = 504;

}

std::string flowResultName(FlowResult result)
{
    switch (result) {
    case FlowResult::Whole:
        return "whole";
    case FlowResult::Shed:
        return "shed";
    case FlowResult::Reset:
        return "reset";
    case FlowResult::TimedOut:
        return "timed_out";
    case FlowResult::Truncated:
        return "truncated";
    case FlowResult::WrongBytes:
        break;
    }
    return "wrong_bytes";
}

LoadFlow::LoadFlow(EventLoop& loop, PacketPort& port, LoadRequest request, LoadFlowObserver& observer)
    : m_loop(loop)
    , m_port(port)
    , m_request(std::move(request))
    , m_observer(observer)
{
    if (m_request.kind == RequestKind::Document)
        m_expected = documentBody(m_request.identity, m_request.bytes);
    else if (m_request.kind == RequestKind::Order)
        m_expected = "ordered " + m_request.identity + '\n';
}

void LoadFlow::start(const FlowKey& flow)
{
    m_flow = flow;
    m_started = m_loop.now();
    m_connection = m_port.tcp().connect(flow, this, m_started);
}

std::string LoadFlow::requestText() const
{
    const std::string end = " HTTP/1.1\r\nHost: service\r\nConnection: close\r\n";
    const std::string query = "?id=" + m_request.identity;
    switch (m_request.kind) {
    case RequestKind::Order:
        return "POST /order" + query + end + "Content-Length: 0\r\n\r\n";
    case RequestKind::Feed:
        return "GET /feed" + query + "&lines=" + std::to_string(m_request.lines)
            + "&interval_ms=" + std::to_string(m_request.interval.count()) + end + "\r\n";
    case RequestKind::Document:
        break;
    }
    return "GET /document" + query + "&bytes=" + std::to_string(m_request.bytes) + end + "\r\n";
}

void LoadFlow::onConnected() { m_connection->send(requestText(), m_loop.now()); }

void LoadFlow::onData(std::string_view data)
{
    if (m_finished)
        return;
    if (!m_reader.add(data)) {
        finish(FlowResult::WrongBytes);
        return;
    }
    if (m_reader.hasHeaders() && !m_begun) {
        m_begun = true;
        m_observer.onAnswerBegun(*this);
    }
    const std::string body = m_reader.takeBody();
    if (m_reader.status() == statusOk && !checkBody(body))
        finish(FlowResult::WrongBytes);
    else if (m_reader.isWhole() && (m_reader.status() == statusShed || m_reader.status() == statusExpired))
        finish(FlowResult::Shed);
    else if (m_reader.isWhole())
        finish(m_expected.empty() && m_nextLine == m_request.lines ? FlowResult::Whole : FlowResult::WrongBytes);
}

bool LoadFlow::checkBody(std::string_view body)
{
    while (m_expected.size() < body.size() && m_nextLine < m_request.lines)
        m_expected += m_request.identity + ' ' + std::to_string(m_nextLine++) + '\n';
    if (!std::string_view(m_expected).starts_with(body))
        return false;
    m_expected.erase(0, body.size());
    return true;
}

void LoadFlow::onPeerFinished()
{
    if (m_finished)
        return;
    finish(FlowResult::Truncated);
}

void LoadFlow::onEnded(TcpEnd end)
{
    if (m_finished)
        return;
    switch (end) {
    case TcpEnd::Reset:
        finish(FlowResult::Reset);
        return;
    case TcpEnd::TimedOut:
        finish(FlowResult::TimedOut);
        return;
    case TcpEnd::Closed:
        finish(FlowResult::Truncated);
        return;
    }
}

void LoadFlow::finish(FlowResult result)
{
    m_finished = true;
    if (result == FlowResult::WrongBytes)
        m_connection->abort();
    else
        m_connection->finish(m_loop.now());
    // The stack keeps the connection until both sides have closed, longer than this flow lives.
    m_connection->setObserver(nullptr);
    m_observer.onFlowEnded(*this, result);
}

}
