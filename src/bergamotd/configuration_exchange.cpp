#include "bergamotd/configuration_exchange.h"

#include <algorithm>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr const char* configurationPath = "/rpc/configuration";
    constexpr Duration pollWait { 5000 };
    constexpr Duration pollDeadline { 8000 };
    constexpr Duration retryDelay { 300 };
    /// Longer than the deadline of a poll, so that peers are not asked while a control host responds.
    constexpr Duration controlSilence { 9000 };
    constexpr Duration peerPollInterval { 1000 };
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

}

ConfigurationExchange::Source::Source(EventLoop& loop, const Endpoint& endpoint, bool isControlHost)
    : client(loop, endpoint)
    , isControl(isControlHost)
{
}

ConfigurationExchange::ConfigurationExchange(EventLoop& loop, ConfigurationExchangeOptions options,
    std::function<const schema::Configuration&()> current, std::function<void(const schema::Configuration&)> received)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_current(std::move(current))
    , m_received(std::move(received))
    , m_server(loop)
    , m_waitTimer(loop, [this] { expireWaiting(); })
    , m_lastControlAnswer(loop.now() - controlSilence)
{
}

std::error_code ConfigurationExchange::start()
{
    m_server.handle(
        configurationPath, [this](const std::string& body, const RpcReply& reply) { handleCall(body, reply); });
    if (const std::error_code error = m_server.listen(m_options.listen))
        return error;
    for (const Endpoint& endpoint : m_options.controlHosts)
        addSource(endpoint, true);
    for (const Endpoint& endpoint : m_options.peers)
        addSource(endpoint, false);
    return {};
}

void ConfigurationExchange::addSource(const Endpoint& endpoint, bool isControlHost)
{
    m_sources.push_back(std::make_unique<Source>(m_loop, endpoint, isControlHost));
    Source& source = *m_sources.back();
    source.retry = std::make_unique<Timer>(m_loop, [this, &source] { poll(source); });
    source.retry->start(isControlHost ? Duration(0) : peerPollInterval);
}

void ConfigurationExchange::poll(Source& source)
{
    const bool controlAnswers = m_loop.now() - m_lastControlAnswer < controlSilence;
    if (!source.isControl && controlAnswers) {
        source.retry->start(peerPollInterval);
        return;
    }
    schema::ConfigurationRequest request;
    request.set_host(m_options.host);
    request.set_have_revision(m_current().revision());
    request.set_wait_ms(static_cast<std::uint32_t>(pollWait.count()));
    source.client.call(configurationPath, request.SerializeAsString(), pollDeadline,
        [this, &source](const RpcResult& result) { handleAnswer(source, result); });
}

void ConfigurationExchange::handleAnswer(Source& source, const RpcResult& result)
{
    schema::ConfigurationAnswer answer;
    if (!result.succeeded() || !answer.ParseFromString(result.body)) {
        source.retry->start(retryDelay);
        return;
    }
    if (source.isControl)
        m_lastControlAnswer = m_loop.now();
    const bool isNewer = answer.has_configuration() && answer.configuration().revision() > m_current().revision();
    if (isNewer && answer.committed())
        m_received(answer.configuration());
    // Without the delay, a source that responds at once without a newer revision would use up the control budget.
    source.retry->start(isNewer ? Duration(0) : retryDelay);
}

void ConfigurationExchange::handleCall(const std::string& body, const RpcReply& reply)
{
    schema::ConfigurationRequest request;
    if (!request.ParseFromString(body)) {
        reply.send(statusBadRequest, "");
        return;
    }
    if (request.have_revision() < m_current().revision() || request.wait_ms() == 0) {
        answer(reply, request.have_revision() < m_current().revision());
        return;
    }
    const Duration wait = std::min(Duration(request.wait_ms()), pollWait);
    m_waiting.push_back({ reply, m_loop.now() + wait });
    m_waitTimer.startAt(m_waiting.front().deadline);
}

void ConfigurationExchange::answer(const RpcReply& reply, bool withConfiguration)
{
    schema::ConfigurationAnswer result;
    result.set_revision(m_current().revision());
    result.set_committed(true);
    if (withConfiguration)
        *result.mutable_configuration() = m_current();
    reply.send(statusOk, result.SerializeAsString());
}

void ConfigurationExchange::revisionChanged()
{
    for (const Waiting& waiting : m_waiting)
        answer(waiting.reply, true);
    m_waiting.clear();
    m_waitTimer.stop();
}

void ConfigurationExchange::expireWaiting()
{
    const TimePoint now = m_loop.now();
    m_waiting.remove_if([&](const Waiting& waiting) {
        if (waiting.deadline > now)
            return false;
        answer(waiting.reply, false);
        return true;
    });
    if (!m_waiting.empty())
        m_waitTimer.start(retryDelay);
}

}
