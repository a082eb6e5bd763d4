#pragma once

/// @file
/// Steps of each start of a daemon, read from its log lines: shows which step delays the recovery after a loss of
/// power.

#include "bergamotroute/clock.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <vector>

namespace bergamotroute {

/// One start of one daemon. A step is the time from the line "started" to the step's first line; it is absent if the
/// step was not logged before the next start.
struct HostStart {
    std::string host;
    std::string program;
    /// Time of the line "started", as printed in the log.
    std::string time;
    /// Processor time that the process had used when it was started.
    std::optional<Duration> processorTime;
    /// The first control host answered.
    std::optional<Duration> controlHost;
    /// The first document was in force.
    std::optional<Duration> document;
    /// A leader of the quorum was elected on this host.
    std::optional<Duration> leader;
    /// The first flow was placed.
    std::optional<Duration> firstFlow;
};

/// @param lines log lines in the order of their times.
/// @return all starts in the order of their times.
std::vector<HostStart> findStarts(const std::vector<Json::Value>& lines);

/// @param time as printed in log lines, "2026-12-04T15:20:29.711Z".
/// @return milliseconds since the Unix epoch; nothing if the text is no such time.
std::optional<Duration> parseLogTime(const std::string& time);

}
