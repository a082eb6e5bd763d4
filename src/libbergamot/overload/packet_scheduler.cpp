#include "bergamotroute/packet_scheduler.h"

#include "bergamotroute/held_packets.h"
#include "bergamotroute/link_state.h"
#include "overload/fair_queue.h"
#include "overload/token_bucket.h"

#include <algorithm>
#include <array>

namespace bergamotroute {

namespace {

    /// Share of the link for packets to targets; the rest is for load reports, control calls and probes.
    constexpr double pacedShare = 0.92;
    /// Tokens that accumulate, in milliseconds of the paced rate: bulkInterval and the lateness of a timer on a busy
    /// host.
    constexpr Duration burst { 10 };
    /// Tokens that resets can take in advance, so that a burst of resets delays the packets to targets only shortly.
    constexpr Duration maxDebt { 20 };
    /// Minimum time between two sends from the queues by a timer, while an urgent packet waits and otherwise; each
    /// wake-up costs CPU time.
    constexpr Duration urgentInterval { 1 };
    constexpr Duration bulkInterval { 6 };

    /// Limits on the queues: as much as the link carries in this time, and a limit for the memory of large links.
    constexpr Duration queueTime { 250 };
    constexpr std::size_t maxQueueBytes = 2'000'000;
    /// Share of the space that urgent packets may take, and share of the paced rate while bulk packets wait.
    constexpr double urgentSpaceShare = 0.75;
    constexpr double urgentRateShare = 0.9;

    /// Retransmission timeout of clients (200 ms) and the variation of the transit time of their packets.
    constexpr Duration maxBulkWait { 220 };
    /// Time in which the acknowledgement of a packet reaches its client. A retransmission that arrives earlier after
    /// its packet was sent was caused by the wait in the queue and not by a loss.
    constexpr Duration acknowledgementTime { 50 };
    constexpr std::size_t sentKeyCount = 512;

    /// A payload of this size fills a packet of the smallest common MTU (1,280 bytes): more data follows.
    constexpr std::size_t fullPayloadBytes = 1000;

    /// Distinguishes a reset from an acknowledgement with the same sequence number.
    constexpr std::uint64_t resetKey = 0x9e3779b97f4a7c15;
    constexpr double millisecondsPerSecond = 1000;

    std::uint64_t packetKey(const FlowPacket& packet)
    {
        return retransmissionKey(packet) ^ (packet.rst ? resetKey : 0);
    }

    std::size_t queueCapacity(double linkBytesPerSecond)
    {
        const double bytes = linkBytesPerSecond * static_cast<double>(queueTime.count()) / millisecondsPerSecond;
        return std::min(maxQueueBytes, static_cast<std::size_t>(bytes));
    }

    /// Remembers the keys of packets that have recently left the queue; a later key may overwrite an earlier one.
    class SentKeys {
    public:
        void add(std::uint64_t key, TimePoint now)
        {
            m_slots[key % sentKeyCount] = { key, now };
            m_last = now;
        }

        /// @return true if any key was added recently.
        bool isRecent(TimePoint now) const { return now - m_last < acknowledgementTime; }

        bool contains(std::uint64_t key, TimePoint now) const
        {
            const Slot& slot = m_slots[key % sentKeyCount];
            return slot.key == key && now - slot.time < acknowledgementTime;
        }

    private:
        struct Slot {
            std::uint64_t key = 0;
            TimePoint time;
        };

        std::array<Slot, sentKeyCount> m_slots {};
        TimePoint m_last;
    };

}

class PacketScheduler::Implementation {
public:
    explicit Implementation(double linkBytesPerSecond)
        : bytesPerSecond(linkBytesPerSecond * pacedShare)
        , capacity(queueCapacity(linkBytesPerSecond))
        , urgentCapacity(static_cast<std::size_t>(static_cast<double>(capacity) * urgentSpaceShare))
        , tokens(bytesPerSecond, burst, maxDebt)
    {
    }

    bool isEmpty() const { return urgent.isEmpty() && bulk.isEmpty(); }
    std::size_t queuedBytes() const { return urgent.bytes() + bulk.bytes(); }

    bool isRepeated(const FlowPacket& packet, TimePoint now) const;
    void enqueue(const FlowPacket& packet, QueuedPacket queued);
    PacketClass classify(const FlowPacket& packet) const;
    bool makeSpace(PacketClass packetClass, const QueuedPacket& packet);
    void removeExpired(TimePoint now);
    bool isBulkTurn() const;
    QueuedPacket takeNext();

    double bytesPerSecond;
    std::size_t capacity;
    std::size_t urgentCapacity;
    TokenBucket tokens;
    FairQueue urgent;
    FairQueue bulk;
    /// Bytes by which bulk packets are behind their share of the rate.
    double bulkCredit = 0;
    SentKeys sentKeys;
    SchedulerCounters counters;
};

bool PacketScheduler::Implementation::isRepeated(const FlowPacket& packet, TimePoint now) const
{
    return packet.payloadBytes > 0 && sentKeys.isRecent(now) && sentKeys.contains(packetKey(packet), now);
}

void PacketScheduler::Implementation::enqueue(const FlowPacket& packet, QueuedPacket queued)
{
    for (FairQueue* queue : { &urgent, &bulk }) {
        if (queue->contains(queued.key)) {
            queue->replace(std::move(queued));
            ++counters.merged;
            return;
        }
    }
    if (packet.rst)
        counters.abandoned += bulk.removeFlow(packet.flow);
    const PacketClass packetClass = classify(packet);
    if (!makeSpace(packetClass, queued)) {
        ++counters.overflowed;
        return;
    }
    (packetClass == PacketClass::Urgent ? urgent : bulk).add(std::move(queued));
}

PacketClass PacketScheduler::Implementation::classify(const FlowPacket& packet) const
{
    if (packet.rst)
        return PacketClass::Urgent;
    if (packet.payloadBytes >= fullPayloadBytes)
        return PacketClass::Bulk;
    // The short last packet of a large request and the FIN must not overtake the data before them.
    const bool needsOrder = packet.payloadBytes > 0 || packet.fin;
    return needsOrder && bulk.flowBytes(packet.flow) > 0 ? PacketClass::Bulk : PacketClass::Urgent;
}

bool PacketScheduler::Implementation::makeSpace(PacketClass packetClass, const QueuedPacket& packet)
{
    if (packetClass == PacketClass::Urgent && urgent.bytes() + packet.linkBytes > urgentCapacity)
        return false;
    if (queuedBytes() + packet.linkBytes <= capacity)
        return true;
    // A flow with at least the mean backlog loses its own packet, so that it cannot displace those of other flows.
    if (packetClass == PacketClass::Bulk && bulk.flowBytes(packet.flow) * bulk.flowCount() >= bulk.bytes())
        return false;
    while (!bulk.isEmpty() && queuedBytes() + packet.linkBytes > capacity) {
        bulk.removeOldest();
        ++counters.overflowed;
    }
    return queuedBytes() + packet.linkBytes <= capacity;
}

void PacketScheduler::Implementation::removeExpired(TimePoint now)
{
    while (!bulk.isEmpty() && now - bulk.oldestArrival() > maxBulkWait) {
        bulk.removeOldest();
        ++counters.expired;
    }
}

bool PacketScheduler::Implementation::isBulkTurn() const
{
    if (bulk.isEmpty())
        return false;
    return urgent.isEmpty() || bulkCredit >= static_cast<double>(bulk.nextBytes());
}

QueuedPacket PacketScheduler::Implementation::takeNext()
{
    constexpr double creditPerUrgentByte = (1 - urgentRateShare) / urgentRateShare;
    const bool isBulk = isBulkTurn();
    QueuedPacket packet = (isBulk ? bulk : urgent).take();
    const auto bytes = static_cast<double>(packet.linkBytes);
    if (isBulk)
        bulkCredit = std::max(bulkCredit - bytes, 0.0);
    else
        bulkCredit = bulk.isEmpty() ? 0 : bulkCredit + bytes * creditPerUrgentByte;
    tokens.take(packet.linkBytes);
    sentKeys.add(packet.key, tokens.refilled());
    return packet;
}

PacketScheduler::PacketScheduler(double linkBytesPerSecond)
    : m_implementation(std::make_unique<Implementation>(linkBytesPerSecond))
{
}

PacketScheduler::~PacketScheduler() = default;

bool PacketScheduler::submit(const FlowPacket& packet, const Endpoint& endpoint, std::span<const std::byte> prefix,
    std::span<const std::byte> datagram, TimePoint now)
{
    Implementation& self = *m_implementation;
    const std::size_t linkBytes = linkHeaderBytes + prefix.size() + datagram.size();
    self.tokens.refill(now);
    if (self.isRepeated(packet, now)) {
        ++self.counters.repeated;
        return false;
    }
    if (self.isEmpty() && self.tokens.hasTokens()) {
        self.tokens.take(linkBytes);
        return true;
    }
    QueuedPacket queued { packetKey(packet), packet.flow, endpoint, {}, linkBytes, now };
    queued.datagram.reserve(prefix.size() + datagram.size());
    queued.datagram.assign(prefix.begin(), prefix.end());
    queued.datagram.insert(queued.datagram.end(), datagram.begin(), datagram.end());
    self.enqueue(packet, std::move(queued));
    return false;
}

std::optional<ScheduledPacket> PacketScheduler::take(TimePoint now)
{
    m_implementation->tokens.refill(now);
    m_implementation->removeExpired(now);
    if (!m_implementation->tokens.hasTokens())
        return std::nullopt;
    return takeRegardless();
}

std::optional<ScheduledPacket> PacketScheduler::takeRegardless()
{
    if (m_implementation->isEmpty())
        return std::nullopt;
    QueuedPacket packet = m_implementation->takeNext();
    return ScheduledPacket { packet.endpoint, std::move(packet.datagram) };
}

void PacketScheduler::countBypass(std::size_t datagramBytes, TimePoint now)
{
    m_implementation->tokens.refill(now);
    m_implementation->tokens.take(linkHeaderBytes + datagramBytes);
}

std::optional<TimePoint> PacketScheduler::nextDue() const
{
    if (m_implementation->isEmpty())
        return std::nullopt;
    const TokenBucket& tokens = m_implementation->tokens;
    return tokens.refilled() + tokens.timeUntil(m_implementation->urgent.isEmpty() ? bulkInterval : urgentInterval);
}

bool PacketScheduler::isEmpty() const { return m_implementation->isEmpty(); }

Duration PacketScheduler::delay(PacketClass packetClass) const
{
    const Implementation& self = *m_implementation;
    const double share = self.bulk.isEmpty() ? 1 : urgentRateShare;
    const double bytes = packetClass == PacketClass::Urgent ? static_cast<double>(self.urgent.bytes()) / share
                                                            : static_cast<double>(self.queuedBytes());
    return self.tokens.timeOf(self.tokens.debt() + bytes);
}

std::size_t PacketScheduler::queuedBytes(PacketClass packetClass) const
{
    return (packetClass == PacketClass::Urgent ? m_implementation->urgent : m_implementation->bulk).bytes();
}

double PacketScheduler::bytesPerSecond() const { return m_implementation->bytesPerSecond; }

const SchedulerCounters& PacketScheduler::counters() const { return m_implementation->counters; }

}
