#include "libbergamotio/connect_probe.h"

#include "libbergamotio/socket_address.h"

#include <cerrno>
#include <event2/event.h>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotroute {

namespace {

    /// A timer that comes later than this shows that the process did not run when it should.
    constexpr Duration longestLateness { 100 };

    /// One test; deletes itself when it ends.
    struct Probe {
        EventLoop& loop;
        TimePoint begin;
        Duration timeout;
        int descriptor = -1;
        std::unique_ptr<event, EventDeleter> item;
        std::function<void(ProbeOutcome)> handler;
    };

    ProbeOutcome outcomeOf(int descriptor)
    {
        int error = 0;
        socklen_t length = sizeof(error);
        if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
            return ProbeOutcome::NoAnswer;
        sockaddr_storage peer {};
        socklen_t peerLength = sizeof(peer);
        if (error == 0 && ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peerLength) == 0)
            return ProbeOutcome::Connected;
        return error == ECONNREFUSED ? ProbeOutcome::Refused : ProbeOutcome::NoAnswer;
    }

    void finish(evutil_socket_t, short, void* argument)
    {
        const std::unique_ptr<Probe> probe(static_cast<Probe*>(argument));
        // After a pause of this process the timeout may come first although the connection is open.
        ProbeOutcome outcome = probe->descriptor < 0 ? ProbeOutcome::Inconclusive : outcomeOf(probe->descriptor);
        if (outcome == ProbeOutcome::NoAnswer)
            outcome = judgeSilence(probe->timeout, probe->loop.now() - probe->begin);
        if (probe->descriptor >= 0)
            ::close(probe->descriptor);
        probe->handler(outcome);
    }

}

ProbeOutcome judgeSilence(Duration timeout, Duration elapsed)
{
    return elapsed > timeout + longestLateness ? ProbeOutcome::Inconclusive : ProbeOutcome::NoAnswer;
}

void probeListener(
    EventLoop& loop, const Endpoint& endpoint, Duration timeout, std::function<void(ProbeOutcome)> handler)
{
    const SocketAddress address = toSocketAddress(endpoint);
    std::unique_ptr<Probe> probe(new Probe { loop, loop.now(), timeout, -1, {}, std::move(handler) });
    probe->descriptor = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool started = probe->descriptor >= 0
        && (::connect(probe->descriptor, address.get(), address.length) == 0 || errno == EINPROGRESS);
    // The outcome of a connection that ended at once is read in the same way, later on the loop.
    constexpr long millisecondsPerSecond = 1000;
    constexpr long microsecondsPerMillisecond = 1000;
    const timeval wait { started ? timeout.count() / millisecondsPerSecond : 0,
        started ? timeout.count() % millisecondsPerSecond * microsecondsPerMillisecond : 0 };
    Probe& owned = *probe.release();
    owned.item.reset(event_new(
        loop.base(), owned.descriptor, owned.descriptor >= 0 ? EV_WRITE | EV_TIMEOUT : EV_TIMEOUT, finish, &owned));
    event_add(owned.item.get(), &wait);
}

void probeTarget(EventLoop& loop, const ProbeRequest& request, std::function<void(ProbeOutcome)> handler)
{
    if (!request.reference) {
        probeListener(loop, request.endpoint, request.timeout, std::move(handler));
        return;
    }
    struct Outcomes {
        std::optional<ProbeOutcome> target;
        std::optional<ProbeOutcome> reference;
        std::function<void(ProbeOutcome)> handler;

        void finish()
        {
            if (!target || !reference)
                return;
            const bool isConfirmed = target != ProbeOutcome::NoAnswer || reference == ProbeOutcome::Connected;
            handler(isConfirmed ? *target : ProbeOutcome::Inconclusive);
        }
    };
    const auto outcomes = std::make_shared<Outcomes>();
    outcomes->handler = std::move(handler);
    probeListener(loop, request.endpoint, request.timeout, [outcomes](ProbeOutcome outcome) {
        outcomes->target = outcome;
        outcomes->finish();
    });
    probeListener(loop, *request.reference, request.timeout, [outcomes](ProbeOutcome outcome) {
        outcomes->reference = outcome;
        outcomes->finish();
    });
}

}
