#pragma once

/// @file
/// Storage of the quorum log: the files `log` and `snapshot` in the data folder.

#include "bergamotroute/quorum_log.h"
#include "libbergamotio/durable_file.h"

#include <optional>
#include <string>
#include <system_error>

namespace bergamotroute {

/// Result of opening a data folder.
struct StorageReport {
    /// ResultCode::LogDamaged or StorageFailed; empty if the log is usable.
    std::error_code error;
    /// What was found and what an operator does about it; empty if nothing is remarkable.
    std::string detail;
    /// An incomplete last record was cut.
    bool tornRecordCut = false;
    /// A new identity was created because the folder held none.
    bool newIdentity = false;
};

/// When a data folder is opened.
enum class StorageOpening {
    AtStart,
    /// After a write or sync of this process failed. What the files show may not be on the disk then, so that the log
    /// is written anew, which also proves that the disk has room again.
    AfterFailure,
};

/// Appends to the log file. After the first failure nothing is written any more: the state of unsynced pages is not
/// known after a failed sync.
class LogStorage {
public:
    /// Opens or creates the files and locks the folder against a second process.
    /// @param[out] stored what the files hold; the hard state has an identity.
    StorageReport open(const std::string& folder, StoredLog& stored, StorageOpening opening = StorageOpening::AtStart);

    /// Adds a request to the next sync.
    void add(const PersistRequest& request);

    /// Writes all added requests and makes them durable.
    /// @return ResultCode::StorageFailed after any failure.
    std::error_code sync();

    bool hasUnsynced() const { return m_hasPending || m_pendingSnapshot.has_value(); }
    bool hasFailed() const { return m_failed; }

    /// @return bytes of the log file.
    std::uint64_t logBytes() const { return m_logBytes; }

private:
    std::error_code openFiles(StoredLog& stored, StorageReport& report);
    std::error_code loadSnapshot(StoredLog& stored, StorageReport& report);
    std::error_code loadLog(StoredLog& stored, StorageReport& report);
    std::error_code openLogForAppend();
    /// Replaces the log file by one with the same content.
    std::error_code rewriteLog(const StoredLog& stored);
    /// Replaces the log file by one that holds the hard state and the entries of the request.
    std::error_code writeBase(const PersistRequest& request);
    std::error_code writeSnapshot(const PersistRequest& request);
    std::error_code writePending();

    std::string m_folder;
    FileDescriptor m_lock;
    FileDescriptor m_log;
    schema::StoredRecord m_pending;
    bool m_hasPending = false;
    std::optional<PersistRequest> m_pendingSnapshot;
    std::uint64_t m_logBytes = 0;
    bool m_failed = false;
};

/// @return a new random identity of a control host: 32 hexadecimal digits.
std::string makeIdentity();

}
