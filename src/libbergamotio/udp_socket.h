#pragma once

/// @file
/// UDP sockets that receive and send in batches, because the system calls dominate the cost of the data path.

#include "libbergamotio/socket_address.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <system_error>

namespace bergamotroute {

/// Sums since a socket was opened; bytes are those of payloads.
struct UdpTraffic {
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    /// Datagrams passed to the system, whether or not it took them.
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    /// Datagrams that the system did not take: full buffers, too long, of another address family, or without a route.
    std::uint64_t sendErrors = 0;
    /// Those of them for which a buffer was full.
    std::uint64_t fullBufferErrors = 0;
};

/// A non-blocking UDP socket with one receive and one send batch.
class UdpSocket {
public:
    /// Datagrams a system call.
    static constexpr std::size_t batchSize = 64;
    /// Default largest datagram; an inner packet of a 1,500-byte link and a relay header fit with room to spare.
    static constexpr std::size_t packetBytes = 4096;
    /// Largest datagram that UDP over IPv4 carries; a table update for 1,024 buckets needs more than packetBytes.
    static constexpr std::size_t messageBytes = 65'507;

    using Handler = std::function<void(std::span<const std::byte> payload, const Endpoint& source)>;

    /// @param datagramBytes largest datagram to receive or send.
    explicit UdpSocket(std::size_t datagramBytes = packetBytes);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    /// Opens and binds the socket; port zero takes a free one.
    /// @return ResultCode::AddressUnavailable if the address cannot be bound.
    std::error_code open(const Endpoint& local);

    int descriptor() const { return m_descriptor; }

    /// @return the bound address.
    Endpoint local() const { return localEndpoint(m_descriptor); }

    /// Receives one batch and calls the handler for each datagram. The payload is valid during the call.
    /// @return number of datagrams received.
    std::size_t receive(const Handler& handler);

    /// Copies a datagram into the send batch; a full batch is sent at once.
    /// @param header bytes before the payload; may be empty.
    void queue(const Endpoint& target, std::span<const std::byte> header, std::span<const std::byte> payload);

    /// Sends the batch.
    void flush();

    const UdpTraffic& traffic() const { return m_traffic; }

    /// @return datagrams that the system did not take.
    std::uint64_t sendErrors() const { return m_traffic.sendErrors; }

private:
    struct Batch;

    std::size_t m_datagramBytes;
    int m_descriptor = -1;
    bool m_isV4 = true;
    UdpTraffic m_traffic;
    std::unique_ptr<Batch> m_received;
    std::unique_ptr<Batch> m_sent;
};

}
