#pragma once

/// @file
/// The two processes that the forwarding benchmark compares.

#include "bergamotroute/types.h"

#include <string>
#include <sys/types.h>

namespace bergamotroute {

/// A process that is ended with this object.
class ChildProcess {
public:
    explicit ChildProcess(pid_t pid)
        : m_pid(pid)
    {
    }
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// @return processor time used so far in seconds.
    double processorSeconds() const;

private:
    pid_t m_pid;
};

/// Starts the bare relay.
/// @param[out] listen where it receives.
pid_t startBareRelay(const Endpoint& target, Endpoint& listen);

/// Addresses and ports of the bergamotd under test.
struct DaemonPlaces {
    std::string folder;
    Endpoint fabric;
    Endpoint announce;
    Endpoint service;
    Endpoint target;
};

/// Chooses free addresses on loopback by this process's number.
DaemonPlaces choosePlaces(const std::string& folder);

/// Writes settings and configuration and starts bergamotd alone in its steering group.
pid_t startDaemon(const std::string& program, const DaemonPlaces& places);

}
