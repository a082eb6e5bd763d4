#pragma once

/// @file
/// Proxies that pass traffic on with faults.

#include "bergamotroute/types.h"
#include "libbergamotio/event_loop.h"
#include "standins/common/fault_plan.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace bergamotroute {

/// A listener of the proxy.
class Proxy {
public:
    virtual ~Proxy() = default;

    /// @return the bound port; 0 if the address cannot be bound.
    virtual std::uint16_t port() const = 0;

    /// Makes the connections that are open now silent for good; later ones are not affected.
    virtual void freeze() = 0;

    /// Passes on what was held back, after a change of the faults.
    virtual void resume() = 0;

    /// Closes the next connection after it has passed on this many bytes from the client, inside a message.
    virtual void cutAfter(std::size_t bytes) = 0;
};

std::unique_ptr<Proxy> makeTcpProxy(EventLoop& loop, FaultPlan& plan, const Endpoint& listen, const Endpoint& target);
std::unique_ptr<Proxy> makeUdpProxy(EventLoop& loop, FaultPlan& plan, const Endpoint& listen, const Endpoint& target);

/// A socket address of an endpoint. IPv4 endpoints get IPv4 addresses.
struct SocketName {
    alignas(8) unsigned char bytes[128] {};
    unsigned length = 0;

    explicit SocketName(const Endpoint& endpoint);
};

}
