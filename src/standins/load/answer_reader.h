#pragma once

/// @file
/// Reads one HTTP/1.1 answer from the bytes of a flow. evhttp needs a socket of the system for each flow, and the load
/// stand-in holds tens of thousands of flows without sockets.

#include <cstddef>
#include <string>
#include <string_view>

namespace bergamotroute {

/// Status, backend server and body of an answer, as far as they have arrived.
class AnswerReader {
public:
    /// Takes the next bytes.
    /// @return false if they are not a valid answer.
    bool add(std::string_view data);

    bool hasHeaders() const { return m_status != 0; }
    bool isWhole() const { return m_whole; }
    int status() const { return m_status; }
    const std::string& backend() const { return m_backend; }

    /// @return body bytes since the last call.
    std::string takeBody();

private:
    bool readHeaders();
    bool readHeaderLine(std::string_view line);
    bool readChunks();
    void readSizedBody();

    std::string m_input;
    std::string m_body;
    std::string m_backend;
    int m_status = 0;
    bool m_isChunked = false;
    bool m_whole = false;
    std::size_t m_rest = 0;
};

}
