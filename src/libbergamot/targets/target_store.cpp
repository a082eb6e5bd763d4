#include "targets/target_store.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr std::uint32_t defaultLeaseSeconds = 6;
    constexpr std::uint32_t maxLeaseSeconds = 300;
    constexpr std::uint32_t maxSlots = 100'000;
    constexpr std::size_t maxServiceName = 63;
    /// A renewal is sent in two heartbeats, so that the loss of one heartbeat does not shorten a lease.
    constexpr unsigned renewalCopies = 2;
    /// A change is sent three times, because target updates are datagrams without acknowledgement.
    constexpr unsigned updateCopies = 3;
    constexpr Duration updateRepeatInterval { 1000 };
    /// The record of a gone target is kept for this time, because steering still needs its endpoint, and its version is
    /// needed to recognise late updates as outdated.
    constexpr Duration goneRetention { 60'000 };

    std::uint32_t leaseSeconds(const schema::Announcement& announcement)
    {
        return announcement.lease_seconds() == 0 ? defaultLeaseSeconds : announcement.lease_seconds();
    }

    bool isWellFormed(const schema::Announcement& announcement)
    {
        std::error_code error;
        IpAddress::parse(announcement.address(), error);
        const bool namesOk = !announcement.service().empty() && announcement.service().size() <= maxServiceName
            && !announcement.data_centre().empty();
        const bool portOk = announcement.fou_port() >= 1 && announcement.fou_port() <= 65'535;
        const bool slotsOk = announcement.slots() >= 1 && announcement.slots() <= maxSlots;
        const bool leaseOk = announcement.lease_seconds() <= maxLeaseSeconds;
        return !error && namesOk && portOk && slotsOk && leaseOk;
    }

    bool isAllowedSource(const schema::Service& service, const IpAddress& source)
    {
        return std::any_of(
            service.allowed_networks().begin(), service.allowed_networks().end(), [&source](const std::string& text) {
                std::error_code error;
                const IpNetwork network = IpNetwork::parse(text, error);
                return !error && network.contains(source);
            });
    }

    bool isSameContent(const schema::Announcement& a, const schema::Announcement& b)
    {
        return a.state() == b.state() && a.slots() == b.slots() && a.fou_port() == b.fou_port()
            && a.data_centre() == b.data_centre() && a.lease_seconds() == b.lease_seconds()
            && a.health_url() == b.health_url() && a.load_url() == b.load_url() && a.incarnation() == b.incarnation();
    }

    std::uint32_t millisecondsUntil(TimePoint end, TimePoint now)
    {
        return end <= now ? 0 : static_cast<std::uint32_t>((end - now).count());
    }

    schema::AnnouncementResult makeResult(ResultCode code, std::uint32_t lease)
    {
        schema::AnnouncementResult result;
        result.set_code(static_cast<std::uint32_t>(code));
        result.set_message(make_error_code(code).message());
        result.set_lease_seconds(lease);
        return result;
    }

}

TargetStore::TargetStore(std::string host, Duration quarantine)
    : m_host(std::move(host))
    , m_quarantine(quarantine)
{
}

schema::AnnouncementResult TargetStore::announce(
    const schema::Announcement& announcement, const IpAddress& source, TimePoint now)
{
    const ResultCode code = checkAnnouncement(announcement, source, now);
    if (code != ResultCode::Ok)
        return makeResult(code, 0);
    std::error_code error;
    const TargetId id = targetId(announcement.service(), IpAddress::parse(announcement.address(), error));
    TargetRecord& record = m_records[id];
    const bool changed
        = record.version == 0 || !record.hasLease(now) || !isSameContent(record.announcement, announcement);
    if (changed && !(announcement.state() == schema::GONE && record.announcement.state() == schema::GONE)) {
        apply(record, announcement, now);
        ++record.version;
        record.originHost = m_host;
        scheduleUpdates(record, now);
    }
    if (announcement.state() != schema::GONE) {
        record.leaseEnd = now + std::chrono::seconds(leaseSeconds(announcement));
        record.renewalsToSend = changed ? 0 : renewalCopies;
    }
    record.directLeaseEnd = record.leaseEnd;
    return makeResult(ResultCode::Ok, leaseSeconds(announcement));
}

ResultCode TargetStore::checkAnnouncement(
    const schema::Announcement& announcement, const IpAddress& source, TimePoint now) const
{
    if (!isWellFormed(announcement))
        return ResultCode::AnnouncementMalformed;
    const schema::Service* known = service(serviceId(announcement.service()));
    if (known == nullptr)
        return ResultCode::AnnouncementUnknownService;
    if (!isAllowedSource(*known, source))
        return ResultCode::AnnouncementForbiddenNetwork;
    std::error_code error;
    const IpAddress address = IpAddress::parse(announcement.address(), error);
    const TargetId id = targetId(announcement.service(), address);
    const auto existing = m_records.find(id);
    if (existing != m_records.end() && announcement.incarnation() < existing->second.announcement.incarnation())
        return ResultCode::AnnouncementStale;
    return checkClaim(id, address, now);
}

ResultCode TargetStore::checkClaim(TargetId id, const IpAddress& address, TimePoint now) const
{
    for (const auto& [otherId, other] : m_records) {
        if (otherId == id || other.info.endpoint.address != address)
            continue;
        if (other.hasLease(now))
            return ResultCode::AnnouncementAddressClaimed;
        if (claimEnd(other) > now)
            return ResultCode::AnnouncementQuarantined;
    }
    return ResultCode::Ok;
}

void TargetStore::apply(TargetRecord& record, const schema::Announcement& announcement, TimePoint now)
{
    const bool isNew = record.info.id == noTarget;
    const schema::Announcement previous = record.announcement;
    const bool restarted = isNew || previous.incarnation() != announcement.incarnation();
    const bool stateChanged = restarted || previous.state() != announcement.state();
    std::error_code error;
    const IpAddress address = IpAddress::parse(announcement.address(), error);
    record.info.id = targetId(announcement.service(), address);
    record.info.service = serviceId(announcement.service());
    record.info.endpoint = { address, static_cast<std::uint16_t>(announcement.fou_port()) };
    record.info.dataCentre = announcement.data_centre();
    record.announcement = announcement;
    if (restarted || previous.state() == schema::STARTING || previous.state() == schema::GONE)
        record.warmUpSince = now;
    if (stateChanged)
        record.stateSince = announcement.state() == schema::READY ? record.warmUpSince : now;
    if (announcement.state() == schema::GONE)
        record.leaseEnd = now;
    record.goneSince = noDeadline;
    applyOverride(record, now);
}

bool TargetStore::merge(const schema::TargetEntry& entry, TimePoint now)
{
    const schema::Announcement& announcement = entry.announcement();
    std::error_code error;
    const IpAddress address = IpAddress::parse(announcement.address(), error);
    if (error || !isWellFormed(announcement) || entry.target_id() != targetId(announcement.service(), address))
        return false;
    const auto existing = m_records.find(entry.target_id());
    if (existing != m_records.end()) {
        const TargetRecord& own = existing->second;
        const auto ownRank = std::tuple(own.announcement.incarnation(), own.version, std::string_view(own.originHost));
        const auto newRank
            = std::tuple(announcement.incarnation(), entry.version(), std::string_view(entry.origin_host()));
        if (newRank <= ownRank)
            return false;
    }
    TargetRecord& record = m_records[entry.target_id()];
    apply(record, announcement, now);
    record.version = entry.version();
    record.originHost = entry.origin_host();
    record.leaseEnd = std::max(record.leaseEnd, now + Duration(entry.lease_ms()));
    if (announcement.state() == schema::GONE)
        record.leaseEnd = now;
    record.stateSince = now - Duration(entry.state_age_ms());
    if (announcement.state() == schema::READY)
        record.warmUpSince = record.stateSince;
    record.updatesToSend = 0;
    return true;
}

void TargetStore::renew(TargetId target, TimePoint now)
{
    const auto found = m_records.find(target);
    if (found == m_records.end() || found->second.announcement.state() == schema::GONE)
        return;
    TargetRecord& record = found->second;
    record.leaseEnd = std::max(record.leaseEnd, now + std::chrono::seconds(leaseSeconds(record.announcement)));
    record.goneSince = noDeadline;
}

std::vector<TargetId> TargetStore::takeRenewals()
{
    std::vector<TargetId> renewals;
    for (auto& [id, record] : m_records) {
        if (record.renewalsToSend == 0)
            continue;
        --record.renewalsToSend;
        renewals.push_back(id);
    }
    return renewals;
}

void TargetStore::scheduleUpdates(TargetRecord& record, TimePoint now)
{
    record.updatesToSend = updateCopies;
    record.nextUpdate = now;
}

std::vector<schema::TargetEntry> TargetStore::takeDueEntries(TimePoint now)
{
    std::vector<schema::TargetEntry> entries;
    for (auto& [id, record] : m_records) {
        if (record.updatesToSend == 0 || record.nextUpdate > now)
            continue;
        --record.updatesToSend;
        record.nextUpdate = now + updateRepeatInterval;
        entries.push_back(entryOf(record, now));
    }
    return entries;
}

schema::TargetEntry TargetStore::entryOf(const TargetRecord& record, TimePoint now) const
{
    schema::TargetEntry entry;
    entry.set_target_id(record.info.id);
    *entry.mutable_announcement() = record.announcement;
    entry.set_version(record.version);
    entry.set_origin_host(record.originHost);
    entry.set_lease_ms(millisecondsUntil(record.leaseEnd, now));
    entry.set_state_age_ms(millisecondsUntil(now, record.stateSince));
    return entry;
}

void TargetStore::resendDirect(TimePoint now)
{
    for (auto& [id, record] : m_records) {
        if (record.directLeaseEnd > now && record.updatesToSend == 0) {
            record.updatesToSend = 1;
            record.nextUpdate = now;
        }
    }
}

void TargetStore::configure(const schema::Configuration& configuration, TimePoint now)
{
    m_services.clear();
    for (const schema::Service& service : configuration.services())
        m_services[serviceId(service.name())] = service;
    m_overrides.clear();
    for (const schema::BackendOverride& backend : configuration.backends()) {
        std::error_code error;
        const IpAddress address = IpAddress::parse(backend.address(), error);
        if (!error)
            m_overrides[targetId(backend.service(), address)] = backend;
    }
    m_stoppedDataCentres.clear();
    for (const schema::DataCentre& dataCentre : configuration.data_centres()) {
        if (dataCentre.stopped())
            m_stoppedDataCentres.insert(dataCentre.name());
    }
    for (auto& [id, record] : m_records)
        applyOverride(record, now);
}

void TargetStore::applyOverride(TargetRecord& record, TimePoint now) const
{
    const auto found = m_overrides.find(record.info.id);
    const bool overridden = found != m_overrides.end();
    const schema::BackendAdminState state = overridden ? found->second.state() : schema::BACKEND_READY;
    if (state != record.adminState)
        record.adminSince = now;
    record.adminState = state;
    record.weightPercent = overridden ? found->second.weight_percent() : 100;
}

bool TargetStore::isAddressTaken(const TargetRecord& record, TimePoint now) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto& item) {
        const TargetRecord& other = item.second;
        return item.first != record.info.id && other.info.endpoint.address == record.info.endpoint.address
            && other.hasLease(now);
    });
}

void TargetStore::expire(TimePoint now)
{
    std::erase_if(m_records, [this, now](const auto& item) {
        const TargetRecord& record = item.second;
        return claimEnd(record) <= now && record.goneSince != noDeadline && record.goneSince + goneRetention <= now;
    });
}

TimePoint TargetStore::nextDeadline(TimePoint now) const
{
    TimePoint next = noDeadline;
    const auto consider = [&next, now](TimePoint candidate) {
        if (candidate > now)
            next = std::min(next, candidate);
    };
    for (const auto& [id, record] : m_records) {
        consider(record.leaseEnd);
        consider(claimEnd(record));
        if (record.updatesToSend > 0)
            next = std::min(next, record.nextUpdate);
    }
    return next;
}

std::uint32_t TargetStore::digest() const
{
    std::uint32_t digest = 0;
    for (const auto& [id, record] : m_records) {
        const std::uint64_t parts[] = { id, record.version, record.announcement.incarnation() };
        digest ^= static_cast<std::uint32_t>(XXH3_64bits(parts, sizeof(parts)));
    }
    return digest;
}

const schema::Service* TargetStore::service(ServiceId id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

bool TargetStore::isDataCentreExcluded(const TargetRecord& record) const
{
    if (m_stoppedDataCentres.contains(record.info.dataCentre))
        return true;
    const schema::Service* known = service(record.info.service);
    if (known == nullptr || known->data_centres().empty())
        return false;
    const auto& served = known->data_centres();
    return std::find(served.begin(), served.end(), record.info.dataCentre) == served.end();
}

}
