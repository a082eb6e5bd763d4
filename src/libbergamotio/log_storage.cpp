#include "libbergamotio/log_storage.h"

#include "libbergamotio/log_frames.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <sys/file.h>
#include <unistd.h>

namespace bergamotroute {

namespace {

    constexpr mode_t ownerOnly = 0600;
    constexpr const char* logName = "log";
    constexpr const char* snapshotName = "snapshot";
    constexpr std::string_view replaceAdvice
        = "; this control host must not vote with it: move the data folder away, start with an empty one and "
          "\"join\": true, and replace the member (docs/CONTROL_HOSTS.md)";

    std::string systemText() { return std::error_code(errno, std::generic_category()).message(); }

    std::error_code damaged(StorageReport& report, std::string what)
    {
        report.detail = std::move(what);
        report.detail += replaceAdvice;
        return ResultCode::LogDamaged;
    }

    std::error_code failed(StorageReport& report, std::string what)
    {
        report.detail = std::move(what);
        return ResultCode::StorageFailed;
    }

    void replay(const schema::StoredRecord& record, StoredLog& stored)
    {
        if (record.has_hard_state())
            stored.hardState = record.hard_state();
        for (const schema::LogEntry& entry : record.entries()) {
            while (!stored.entries.empty() && stored.entries.back().index() >= entry.index())
                stored.entries.pop_back();
            stored.entries.push_back(entry);
        }
    }

    bool isConsecutive(const StoredLog& stored)
    {
        std::uint64_t index = stored.baseIndex;
        for (const schema::LogEntry& entry : stored.entries) {
            if (entry.index() != ++index)
                return false;
        }
        return true;
    }

}

std::string makeIdentity()
{
    std::random_device source;
    std::string identity;
    for (int part = 0; part < 4; ++part) {
        std::array<char, 9> digits {};
        std::snprintf(digits.data(), digits.size(), "%08x", source());
        identity += digits.data();
    }
    return identity;
}

StorageReport LogStorage::open(const std::string& folder, StoredLog& stored, StorageOpening opening)
{
    m_folder = folder;
    StorageReport report;
    report.error = openFiles(stored, report);
    if (!report.error && opening == StorageOpening::AfterFailure && rewriteLog(stored))
        report.error = failed(report, "cannot write to " + m_folder);
    m_failed = static_cast<bool>(report.error);
    return report;
}

std::error_code LogStorage::openFiles(StoredLog& stored, StorageReport& report)
{
    std::error_code error;
    std::filesystem::create_directories(m_folder, error);
    if (error)
        return failed(report, "cannot create " + m_folder + ": " + error.message());
    m_lock = FileDescriptor(::open((m_folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, ownerOnly));
    if (!m_lock.isOpen() || ::flock(m_lock.get(), LOCK_EX | LOCK_NB) != 0)
        return failed(report, "cannot lock " + m_folder + ", another process may use it: " + systemText());
    if (error = loadSnapshot(stored, report); error)
        return error;
    if (error = loadLog(stored, report); error)
        return error;
    if (stored.hardState.identity().empty()) {
        if (stored.snapshot || !stored.entries.empty())
            return damaged(report, m_folder + "/log holds no identity");
        stored.hardState.set_identity(makeIdentity());
        report.newIdentity = true;
        PersistRequest first;
        first.hardState = stored.hardState;
        add(first);
        if (sync())
            return failed(report, "cannot write to " + m_folder);
    }
    return {};
}

std::error_code LogStorage::loadSnapshot(StoredLog& stored, StorageReport& report)
{
    std::string content;
    bool exists = false;
    if (const std::error_code error = readFile(m_folder + '/' + snapshotName, content, exists))
        return failed(report, "cannot read the snapshot: " + error.message());
    if (!exists)
        return {};
    const FrameScan scan = scanFrames(content);
    schema::Snapshot snapshot;
    const bool intact = scan.payloads.size() == 1 && !scan.torn && !scan.damaged
        && snapshot.ParseFromArray(scan.payloads[0].data(), static_cast<int>(scan.payloads[0].size()));
    if (!intact)
        return damaged(report, "the file " + m_folder + "/snapshot is damaged");
    stored.snapshot = std::move(snapshot);
    return {};
}

std::error_code LogStorage::loadLog(StoredLog& stored, StorageReport& report)
{
    const std::string path = m_folder + '/' + logName;
    std::string content;
    bool exists = false;
    if (const std::error_code error = readFile(path, content, exists))
        return failed(report, "cannot read the log: " + error.message());
    const FrameScan scan = scanFrames(content);
    if (scan.damaged)
        return damaged(report,
            "record " + std::to_string(scan.payloads.size() + 1) + " of " + path + " at byte "
                + std::to_string(scan.intactBytes) + " is damaged");
    for (const std::string_view payload : scan.payloads) {
        schema::StoredRecord record;
        if (!record.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
            return damaged(report, "a record of " + path + " cannot be read");
        if (record.is_base()) {
            stored.baseIndex = record.base_index();
            stored.baseTerm = record.base_term();
        }
        replay(record, stored);
    }
    const std::uint64_t snapshotIndex = stored.snapshot ? stored.snapshot->last_index() : 0;
    if (!isConsecutive(stored) || stored.baseIndex > snapshotIndex)
        return damaged(report, "entries are missing in " + path);
    if (const std::error_code error = openLogForAppend())
        return failed(report, "cannot open " + path + ": " + systemText());
    if (!scan.torn)
        return {};
    if (::ftruncate(m_log.get(), static_cast<off_t>(scan.intactBytes)) != 0 || ::fsync(m_log.get()) != 0)
        return failed(report, "cannot cut the incomplete last record of " + path + ": " + systemText());
    m_logBytes = scan.intactBytes;
    report.tornRecordCut = true;
    report.detail = "cut " + std::to_string(content.size() - scan.intactBytes) + " bytes from the end of " + path;
    return {};
}

std::error_code LogStorage::openLogForAppend()
{
    const std::string path = m_folder + '/' + logName;
    m_log = FileDescriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, ownerOnly));
    if (!m_log.isOpen())
        return ResultCode::StorageFailed;
    m_logBytes = static_cast<std::uint64_t>(::lseek(m_log.get(), 0, SEEK_END));
    return syncFolder(m_folder);
}

void LogStorage::add(const PersistRequest& request)
{
    if (request.snapshot) {
        // A request with a snapshot holds the complete hard state and log, so it replaces what was added before.
        m_pending.Clear();
        m_hasPending = false;
        m_pendingSnapshot = request;
        return;
    }
    m_hasPending = true;
    if (request.hardState)
        *m_pending.mutable_hard_state() = *request.hardState;
    for (const schema::LogEntry& entry : request.entries)
        *m_pending.add_entries() = entry;
}

std::error_code LogStorage::sync()
{
    if (m_failed)
        return ResultCode::StorageFailed;
    std::error_code error;
    if (m_pendingSnapshot)
        error = writeSnapshot(*m_pendingSnapshot);
    m_pendingSnapshot.reset();
    if (!error && m_hasPending)
        error = writePending();
    m_pending.Clear();
    m_hasPending = false;
    if (!error)
        return {};
    m_failed = true;
    return ResultCode::StorageFailed;
}

std::error_code LogStorage::writeSnapshot(const PersistRequest& request)
{
    if (const std::error_code error
        = replaceFile(m_folder, snapshotName, makeFrame(request.snapshot->SerializeAsString())))
        return error;
    return writeBase(request);
}

std::error_code LogStorage::writeBase(const PersistRequest& request)
{
    schema::StoredRecord base;
    base.set_is_base(true);
    base.set_base_index(request.baseIndex);
    base.set_base_term(request.baseTerm);
    if (request.hardState)
        *base.mutable_hard_state() = *request.hardState;
    for (const schema::LogEntry& entry : request.entries)
        *base.add_entries() = entry;
    if (const std::error_code error = replaceFile(m_folder, logName, makeFrame(base.SerializeAsString())))
        return error;
    return openLogForAppend();
}

std::error_code LogStorage::rewriteLog(const StoredLog& stored)
{
    PersistRequest request;
    request.hardState = stored.hardState;
    request.entries = stored.entries;
    request.baseIndex = stored.baseIndex;
    request.baseTerm = stored.baseTerm;
    return writeBase(request);
}

std::error_code LogStorage::writePending()
{
    const std::string frame = makeFrame(m_pending.SerializeAsString());
    if (const std::error_code error = writeAll(m_log.get(), frame))
        return error;
    if (::fdatasync(m_log.get()) != 0)
        return { errno, std::generic_category() };
    m_logBytes += frame.size();
    return {};
}

}
