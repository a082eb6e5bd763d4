// UDP: each client has its own socket to the target, so that answers find their way back.

#include "standins/faultproxy/proxy.h"

#include <array>
#include <cstring>
#include <event2/event.h>
#include <map>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotroute {

namespace {

    constexpr std::size_t largestDatagram = 65536;

    int bindSocket(const Endpoint& endpoint)
    {
        const SocketName name(endpoint);
        const int family = endpoint.address.isV4() ? AF_INET : AF_INET6;
        const int descriptor = ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor >= 0 && ::bind(descriptor, reinterpret_cast<const sockaddr*>(name.bytes), name.length) != 0) {
            ::close(descriptor);
            return -1;
        }
        return descriptor;
    }

    /// A function that libevent runs once.
    void runOnce(evutil_socket_t, short, void* context)
    {
        const std::unique_ptr<std::function<void()>> action(static_cast<std::function<void()>*>(context));
        (*action)();
    }

    void runLater(EventLoop& loop, Duration delay, std::function<void()> action)
    {
        const timeval time { delay.count() / 1000, (delay.count() % 1000) * 1000 };
        auto* context = new std::function<void()>(std::move(action));
        if (event_base_once(loop.base(), -1, EV_TIMEOUT, runOnce, context, &time) != 0)
            delete context;
    }

    struct Flow {
        std::string client;
        int descriptor = -1;
        bool isFrozen = false;
        std::unique_ptr<ReadWatch> watch;
    };

    class UdpProxy final : public Proxy {
    public:
        UdpProxy(EventLoop& loop, FaultPlan& plan, const Endpoint& listen, const Endpoint& target)
            : m_loop(loop)
            , m_plan(plan)
            , m_target(target)
            , m_descriptor(bindSocket(listen))
        {
            if (m_descriptor >= 0)
                m_watch = std::make_unique<ReadWatch>(loop, m_descriptor, [this] { readClients(); });
        }

        ~UdpProxy() override
        {
            for (auto& [client, flow] : m_flows) {
                flow.watch.reset();
                ::close(flow.descriptor);
            }
            m_watch.reset();
            if (m_descriptor >= 0)
                ::close(m_descriptor);
        }

        std::uint16_t port() const override
        {
            sockaddr_storage name {};
            socklen_t length = sizeof name;
            if (::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&name), &length) != 0)
                return 0;
            return ntohs(reinterpret_cast<const sockaddr_in&>(name).sin_port);
        }

        void freeze() override
        {
            for (auto& [client, flow] : m_flows)
                flow.isFrozen = true;
        }

        void resume() override { }
        void cutAfter(std::size_t) override { }

    private:
        Flow& flowOf(const std::string& client)
        {
            Flow& flow = m_flows[client];
            if (flow.descriptor >= 0)
                return flow;
            flow.client = client;
            const SocketName target(m_target);
            const int family = m_target.address.isV4() ? AF_INET : AF_INET6;
            flow.descriptor = ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            if (::connect(flow.descriptor, reinterpret_cast<const sockaddr*>(target.bytes), target.length) == 0)
                flow.watch = std::make_unique<ReadWatch>(m_loop, flow.descriptor, [this, &flow] { readTarget(flow); });
            return flow;
        }

        void readClients()
        {
            sockaddr_storage name {};
            socklen_t length = sizeof name;
            ssize_t size = 0;
            while ((size = ::recvfrom(
                        m_descriptor, m_buffer.data(), m_buffer.size(), 0, reinterpret_cast<sockaddr*>(&name), &length))
                >= 0) {
                const std::string data(m_buffer.data(), static_cast<std::size_t>(size));
                Flow& flow = flowOf(std::string(reinterpret_cast<const char*>(&name), length));
                if (!flow.isFrozen && !m_plan.settings().isCutUp)
                    pass([&flow, data] { (void)::send(flow.descriptor, data.data(), data.size(), 0); });
                length = sizeof name;
            }
        }

        void readTarget(Flow& flow)
        {
            ssize_t size = 0;
            while ((size = ::recv(flow.descriptor, m_buffer.data(), m_buffer.size(), 0)) >= 0) {
                const std::string data(m_buffer.data(), static_cast<std::size_t>(size));
                if (!flow.isFrozen && !m_plan.settings().isCutDown)
                    pass([this, &flow, data] {
                        (void)::sendto(m_descriptor, data.data(), data.size(), 0,
                            reinterpret_cast<const sockaddr*>(flow.client.data()),
                            static_cast<socklen_t>(flow.client.size()));
                    });
            }
        }

        void pass(const std::function<void()>& action)
        {
            for (const Duration delay : m_plan.datagramDelays()) {
                if (delay.count() == 0)
                    action();
                else
                    runLater(m_loop, delay, action);
            }
        }

        EventLoop& m_loop;
        FaultPlan& m_plan;
        Endpoint m_target;
        int m_descriptor;
        std::unique_ptr<ReadWatch> m_watch;
        std::map<std::string, Flow> m_flows;
        std::array<char, largestDatagram> m_buffer {};
    };

}

std::unique_ptr<Proxy> makeUdpProxy(EventLoop& loop, FaultPlan& plan, const Endpoint& listen, const Endpoint& target)
{
    return std::make_unique<UdpProxy>(loop, plan, listen, target);
}

}
