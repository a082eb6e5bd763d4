// TCP: a listener and its links.

#include "standins/faultproxy/stream_link.h"

#include <event2/listener.h>
#include <list>
#include <netinet/in.h>
#include <sys/socket.h>

namespace bergamotroute {

namespace {

    class TcpProxy final : public Proxy {
    public:
        TcpProxy(EventLoop& loop, FaultPlan& plan, const Endpoint& listen, const Endpoint& target)
            : m_loop(loop)
            , m_plan(plan)
            , m_target(target)
            , m_sweep(loop, [this] { m_closed.clear(); })
        {
            const SocketName name(listen);
            m_listener = evconnlistener_new_bind(loop.base(), onAccept, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, SOMAXCONN,
                reinterpret_cast<const sockaddr*>(name.bytes), static_cast<int>(name.length));
        }

        ~TcpProxy() override
        {
            if (m_listener != nullptr)
                evconnlistener_free(m_listener);
        }

        std::uint16_t port() const override
        {
            sockaddr_storage name {};
            socklen_t length = sizeof name;
            const bool isBound = m_listener != nullptr
                && ::getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&name), &length) == 0;
            return isBound ? ntohs(reinterpret_cast<const sockaddr_in&>(name).sin_port) : 0;
        }

        void freeze() override
        {
            for (auto& link : m_links)
                link->freeze();
        }

        void resume() override
        {
            for (auto& link : m_links)
                link->resume();
        }

        void cutAfter(std::size_t bytes) override { m_cutAfter = bytes; }

    private:
        using Links = std::list<std::unique_ptr<StreamLink>>;

        static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* context)
        {
            static_cast<TcpProxy*>(context)->accept(descriptor);
        }

        void accept(int descriptor)
        {
            m_links.push_back(std::make_unique<StreamLink>(
                m_loop, m_plan, descriptor, m_target, m_cutAfter, [this](StreamLink& link) { removeLater(link); }));
            m_cutAfter.reset();
        }

        /// A link is destroyed from a timer, because its own callbacks are still running.
        void removeLater(const StreamLink& link)
        {
            for (auto place = m_links.begin(); place != m_links.end(); ++place) {
                if (place->get() != &link)
                    continue;
                m_closed.splice(m_closed.end(), m_links, place);
                break;
            }
            m_sweep.start(Duration(0));
        }

        EventLoop& m_loop;
        FaultPlan& m_plan;
        Endpoint m_target;
        Timer m_sweep;
        evconnlistener* m_listener = nullptr;
        std::optional<std::size_t> m_cutAfter;
        Links m_links;
        Links m_closed;
    };

}

std::unique_ptr<Proxy> makeTcpProxy(EventLoop& loop, FaultPlan& plan, const Endpoint& listen, const Endpoint& target)
{
    return std::make_unique<TcpProxy>(loop, plan, listen, target);
}

}
