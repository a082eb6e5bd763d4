#pragma once

/// @file
/// Three bergamot-control processes on loopback for the benchmark.

#include "libbergamotio/child_process.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bergamotroute::bench {

/// One control host process.
struct ControlProcess {
    std::string name;
    std::string folder;
    std::uint16_t rpcPort = 0;
    std::uint16_t httpPort = 0;
    /// Null while the host does not run.
    std::unique_ptr<ChildProcess> process;
};

inline constexpr const char* benchToken = "bench-token";

/// Chooses ports and writes settings and token for each host.
std::vector<ControlProcess> prepareControlHosts(const std::string& folder, std::size_t count);

/// Starts a process.
/// @param program path of bergamot-control.
/// @return false if it cannot be started.
bool startControlHost(const std::string& program, ControlProcess& host);

/// Kills a process by its number and waits for its end.
void killControlHost(ControlProcess& host);

/// @return bytes of the files in the host's data folder.
std::uint64_t dataBytes(const ControlProcess& host);

}
