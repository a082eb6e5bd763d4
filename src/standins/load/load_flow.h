#pragma once

/// @file
/// One caller: opens a flow, sends one request and checks the answer byte for byte.

#include "standins/common/packet_port.h"
#include "standins/load/answer_reader.h"

#include <functional>
#include <memory>
#include <string>

namespace bergamotroute {

/// What a caller asks for.
enum class RequestKind {
    Document,
    Order,
    Feed,
};

/// A request and the body that must come back.
struct LoadRequest {
    RequestKind kind = RequestKind::Document;
    std::string identity;
    /// Bytes of a document.
    std::size_t bytes = 0;
    /// Lines of a feed and the time between them.
    std::uint64_t lines = 0;
    Duration interval { 0 };
};

/// How a flow ended.
enum class FlowResult {
    Whole,
    /// The backend server said that it did not run the request.
    Shed,
    /// Reset by something that had no knowledge of the flow.
    Reset,
    TimedOut,
    /// Closed before the end of the answer.
    Truncated,
    WrongBytes,
};

/// Name of a result in reports.
std::string flowResultName(FlowResult result);

class LoadFlow;

/// Receives the events of flows.
class LoadFlowObserver {
public:
    virtual ~LoadFlowObserver() = default;
    /// The first bytes of the answer have arrived; the backend server is known.
    virtual void onAnswerBegun(LoadFlow& flow) = 0;
    /// Last event; the flow may be destroyed later, not during the call.
    virtual void onFlowEnded(LoadFlow& flow, FlowResult result) = 0;
};

/// A flow at packet level.
class LoadFlow final : public TcpObserver {
public:
    LoadFlow(EventLoop& loop, PacketPort& port, LoadRequest request, LoadFlowObserver& observer);

    /// @param flow caller to service.
    void start(const FlowKey& flow);

    const LoadRequest& request() const { return m_request; }
    const std::string& backend() const { return m_reader.backend(); }
    TimePoint startTime() const { return m_started; }

    void onConnected() override;
    void onData(std::string_view data) override;
    void onPeerFinished() override;
    void onEnded(TcpEnd end) override;

private:
    std::string requestText() const;
    bool checkBody(std::string_view body);
    void finish(FlowResult result);

    EventLoop& m_loop;
    PacketPort& m_port;
    LoadRequest m_request;
    LoadFlowObserver& m_observer;
    FlowKey m_flow;
    TcpConnectionPointer m_connection;
    AnswerReader m_reader;
    /// Expected bytes that have not arrived; feeds fill it line by line.
    std::string m_expected;
    std::uint64_t m_nextLine = 0;
    TimePoint m_started;
    bool m_begun = false;
    bool m_finished = false;
};

}
