#pragma once

/// @file
/// HTTP interface of a control host for operators and targets. Adapters translate a platform's own requests into these
/// types.

#include "bergamotroute/routing_document.h"

#include "directory.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamotroute {

/// Paths and formats of the HTTP interface.
class OperatorProtocol {
public:
    virtual ~OperatorProtocol() = default;

    /// @return path of the whole routing document (GET, PUT).
    virtual std::string documentPath() const = 0;

    /// @return path in front of a target's id, with a trailing slash (PUT for a heartbeat, DELETE for a leave).
    virtual std::string targetPathPrefix() const = 0;

    /// @return path in front of the name of a data centre, with a trailing slash (POST to evacuate it, DELETE to
    /// withdraw the evacuation).
    virtual std::string evacuationPathPrefix() const = 0;

    /// @param path decoded path of a call below evacuationPathPrefix().
    /// @return the name of the data centre, or nothing if the path does not name one.
    virtual std::optional<std::string> readEvacuatedDataCentre(std::string_view path) const = 0;

    virtual const DocumentReader& documentReader() const = 0;

    /// @param id from the path.
    /// @param[out] error why the heartbeat does not describe a target.
    /// @return the heartbeat, or nothing if it is invalid.
    virtual std::optional<schema::TargetRecord> readHeartbeat(
        std::string_view id, std::string_view body, std::string& error) const = 0;

    /// @return start time of the incarnation that a leave request names, in ms since the Unix epoch; zero if it names
    /// none, and nothing if the body cannot be read.
    virtual std::optional<std::uint64_t> readLeave(std::string_view body) const = 0;

    /// @return body of the response to a heartbeat.
    virtual std::string heartbeatResponse() const = 0;

    /// @return body of the response to an order or withdrawal of an evacuation that is in force.
    virtual std::string evacuationResponse() const = 0;

    /// @return body of an error response.
    virtual std::string errorResponse(std::string_view message) const = 0;
};

}
