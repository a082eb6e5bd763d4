#include "libbergamotio/udp_socket.h"

#include "bergamotroute/result_code.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/uio.h>
#include <unistd.h>

namespace bergamotroute {

namespace {

    /// Holds the bursts of a thousand flows while the loop is busy with HTTP; the system may grant less.
    constexpr int socketBufferBytes = 4 * 1024 * 1024;

}

/// Buffers and headers of one recvmmsg or sendmmsg call.
struct UdpSocket::Batch {
    explicit Batch(std::size_t datagramBytes)
        : bytes(std::make_unique_for_overwrite<std::byte[]>(batchSize * datagramBytes))
    {
        for (std::size_t i = 0; i < batchSize; ++i) {
            vectors[i] = { bytes.get() + i * datagramBytes, datagramBytes };
            messages[i].msg_hdr.msg_iov = &vectors[i];
            messages[i].msg_hdr.msg_iovlen = 1;
            messages[i].msg_hdr.msg_name = &addresses[i];
        }
    }

    std::byte* buffer(std::size_t slot) const { return static_cast<std::byte*>(vectors[slot].iov_base); }

    /// Not initialised, so that pages of unused buffer space cost no memory.
    std::unique_ptr<std::byte[]> bytes;
    std::array<iovec, batchSize> vectors {};
    std::array<sockaddr_storage, batchSize> addresses {};
    std::array<mmsghdr, batchSize> messages {};
    std::size_t count = 0;
};

UdpSocket::UdpSocket(std::size_t datagramBytes)
    : m_datagramBytes(datagramBytes)
    , m_received(std::make_unique<Batch>(datagramBytes))
    , m_sent(std::make_unique<Batch>(datagramBytes))
{
}

UdpSocket::~UdpSocket()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

std::error_code UdpSocket::open(const Endpoint& local)
{
    const SocketAddress address = toSocketAddress(local);
    m_isV4 = local.address.isV4();
    m_descriptor = socket(address.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0 || bind(m_descriptor, address.get(), address.length) != 0)
        return ResultCode::AddressUnavailable;
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    setsockopt(m_descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    return {};
}

std::size_t UdpSocket::receive(const Handler& handler)
{
    for (mmsghdr& message : m_received->messages)
        message.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
    const int count = recvmmsg(m_descriptor, m_received->messages.data(), batchSize, 0, nullptr);
    if (count <= 0)
        return 0;
    const auto received = static_cast<std::size_t>(count);
    for (std::size_t i = 0; i < received; ++i) {
        const std::span<const std::byte> payload(m_received->buffer(i), m_received->messages[i].msg_len);
        ++m_traffic.receivedDatagrams;
        m_traffic.receivedBytes += payload.size();
        handler(payload, toEndpoint(m_received->addresses[i]));
    }
    return received;
}

void UdpSocket::queue(const Endpoint& target, std::span<const std::byte> header, std::span<const std::byte> payload)
{
    if (header.size() + payload.size() > m_datagramBytes || target.address.isV4() != m_isV4) {
        ++m_traffic.sendErrors;
        return;
    }
    const std::size_t slot = m_sent->count++;
    const SocketAddress address = toSocketAddress(target);
    std::memcpy(&m_sent->addresses[slot], &address.storage, address.length);
    m_sent->messages[slot].msg_hdr.msg_namelen = address.length;
    std::byte* buffer = m_sent->buffer(slot);
    if (!header.empty())
        std::memcpy(buffer, header.data(), header.size());
    std::memcpy(buffer + header.size(), payload.data(), payload.size());
    m_sent->vectors[slot].iov_len = header.size() + payload.size();
    ++m_traffic.sentDatagrams;
    m_traffic.sentBytes += header.size() + payload.size();
    if (m_sent->count == batchSize)
        flush();
}

void UdpSocket::flush()
{
    std::size_t next = 0;
    while (next < m_sent->count) {
        const auto rest = static_cast<unsigned>(m_sent->count - next);
        const int sent = sendmmsg(m_descriptor, m_sent->messages.data() + next, rest, 0);
        if (sent > 0) {
            next += static_cast<std::size_t>(sent);
            continue;
        }
        if (errno == EAGAIN || errno == ENOBUFS)
            ++m_traffic.fullBufferErrors;
        // An error belongs to the first datagram of the call; the others are still worth sending.
        ++m_traffic.sendErrors;
        ++next;
    }
    m_sent->count = 0;
}

}
