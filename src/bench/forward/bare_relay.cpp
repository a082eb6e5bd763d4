#include "bench/forward/bare_relay.h"

#include "libbergamotio/socket_address.h"

#include <array>
#include <sys/uio.h>

namespace bergamotroute {

namespace {

    constexpr std::size_t batchSize = 64;
    constexpr std::size_t datagramBytes = 4096;

    struct RelayBatch {
        std::array<std::array<std::byte, datagramBytes>, batchSize> buffers;
        std::array<iovec, batchSize> vectors {};
        std::array<mmsghdr, batchSize> messages {};
    };

    void prepare(RelayBatch& batch)
    {
        for (std::size_t i = 0; i < batchSize; ++i) {
            batch.vectors[i] = { batch.buffers[i].data(), datagramBytes };
            batch.messages[i].msg_hdr.msg_iov = &batch.vectors[i];
            batch.messages[i].msg_hdr.msg_iovlen = 1;
        }
    }

    void sendOn(int descriptor, RelayBatch& batch, std::size_t count, SocketAddress& address)
    {
        for (std::size_t i = 0; i < count; ++i) {
            batch.vectors[i].iov_len = batch.messages[i].msg_len;
            batch.messages[i].msg_hdr.msg_name = &address.storage;
            batch.messages[i].msg_hdr.msg_namelen = address.length;
        }
        sendmmsg(descriptor, batch.messages.data(), static_cast<unsigned>(count), 0);
        for (std::size_t i = 0; i < count; ++i) {
            batch.vectors[i].iov_len = datagramBytes;
            batch.messages[i].msg_hdr.msg_name = nullptr;
            batch.messages[i].msg_hdr.msg_namelen = 0;
        }
    }

}

void runBareRelay(int descriptor, const Endpoint& target)
{
    static RelayBatch batch;
    SocketAddress address = toSocketAddress(target);
    prepare(batch);
    while (true) {
        const int count = recvmmsg(descriptor, batch.messages.data(), batchSize, MSG_WAITFORONE, nullptr);
        if (count > 0)
            sendOn(descriptor, batch, static_cast<std::size_t>(count), address);
    }
}

}
