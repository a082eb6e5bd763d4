#pragma once

/// @file
/// How operators and targets speak to a control host. Adapters translate a platform's own calls into these types.

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

    /// @return path of the whole document (GET, PUT).
    virtual std::string documentPath() const = 0;

    /// @return path before the id of a target, with a slash at its end (PUT for a heartbeat, DELETE for a leave).
    virtual std::string targetPathPrefix() const = 0;

    /// @return reader of the document's format.
    virtual const DocumentReader& documentReader() const = 0;

    /// @param id from the path.
    /// @param[out] fault why the heartbeat names no target.
    /// @return the heartbeat, or nothing.
    virtual std::optional<schema::TargetRecord> readHeartbeat(
        std::string_view id, std::string_view body, std::string& error) const = 0;

    /// @return start of the incarnation that a leave names, in ms since the Unix epoch; zero if it names none.
    virtual std::uint64_t readLeave(std::string_view body) const = 0;

    /// @return body of the answer to a heartbeat.
    virtual std::string heartbeatResponse() const = 0;

    /// @return body of an error answer.
    virtual std::string errorResponse(std::string_view message) const = 0;
};

}
