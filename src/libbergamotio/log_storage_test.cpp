#include "libbergamotio/log_storage.h"

#include "libbergamotio/log_frames.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace bergamotroute;

namespace {

/// A data folder that is removed at the end of the test.
class Folder {
public:
    explicit Folder(const std::string& name)
        : m_path((std::filesystem::temp_directory_path() / ("bergamot-" + name + std::to_string(getpid()))).string())
    {
        std::filesystem::remove_all(m_path);
    }
    ~Folder() { std::filesystem::remove_all(m_path); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    const std::string& path() const { return m_path; }
    std::string file(const char* name) const { return m_path + '/' + name; }

    std::string read(const char* name) const
    {
        std::string content;
        bool exists = false;
        REQUIRE_FALSE(readFile(file(name), content, exists));
        return content;
    }

    void write(const char* name, const std::string& content) const
    {
        std::ofstream(file(name), std::ios::binary | std::ios::trunc) << content;
    }

private:
    std::string m_path;
};

/// A file limit, which fails a write as a full disk does, for the life of this object.
class FullDisk {
public:
    /// @param bytes length up to which files can still be written.
    explicit FullDisk(rlim_t bytes)
        : m_previousHandler(std::signal(SIGXFSZ, SIG_IGN))
    {
        getrlimit(RLIMIT_FSIZE, &m_limit);
        rlimit small = m_limit;
        small.rlim_cur = bytes;
        setrlimit(RLIMIT_FSIZE, &small);
    }
    ~FullDisk()
    {
        setrlimit(RLIMIT_FSIZE, &m_limit);
        std::signal(SIGXFSZ, m_previousHandler);
    }
    FullDisk(const FullDisk&) = delete;
    FullDisk& operator=(const FullDisk&) = delete;

private:
    void (*m_previousHandler)(int);
    rlimit m_limit {};
};

PersistRequest entryRequest(std::uint64_t index, std::uint64_t term = 1)
{
    PersistRequest request;
    schema::LogEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.mutable_command()->set_request_id("r" + std::to_string(index));
    request.entries.push_back(entry);
    return request;
}

void writeEntries(const Folder& folder, std::uint64_t count)
{
    LogStorage storage;
    StoredLog stored;
    REQUIRE_FALSE(storage.open(folder.path(), stored).error);
    for (std::uint64_t index = 1; index <= count; ++index) {
        storage.add(entryRequest(index));
        REQUIRE_FALSE(storage.sync());
    }
}

/// @return offsets at which the frames start, and the end of the file.
std::vector<std::size_t> frameOffsets(const std::string& content)
{
    constexpr std::size_t headerBytes = 16;
    std::vector<std::size_t> offsets { 0 };
    for (const std::string_view payload : scanFrames(content).payloads)
        offsets.push_back(offsets.back() + headerBytes + payload.size());
    return offsets;
}

}

// Guards against an interrupted last write that keeps a host from starting, or that takes an earlier record with it.
TEST_CASE("a torn last record is cut at every byte")
{
    const Folder folder("torn");
    writeEntries(folder, 3);
    const std::string whole = folder.read("log");
    const std::vector<std::size_t> offsets = frameOffsets(whole);
    REQUIRE(offsets.size() == 5);
    for (std::size_t frame = 1; frame + 1 < offsets.size(); ++frame) {
        for (std::size_t length = offsets[frame] + 1; length < offsets[frame + 1]; ++length) {
            folder.write("log", whole.substr(0, length));
            LogStorage storage;
            StoredLog stored;
            const StorageReport report = storage.open(folder.path(), stored);
            REQUIRE_FALSE(report.error);
            REQUIRE(report.tornRecordCut);
            REQUIRE(stored.entries.size() == frame - 1);
            REQUIRE(std::filesystem::file_size(folder.file("log")) == offsets[frame]);
        }
    }
}

// Guards against a host that votes with a log from which a durable record is missing.
TEST_CASE("a damaged earlier record is refused at every byte")
{
    const Folder folder("damaged");
    writeEntries(folder, 3);
    const std::string whole = folder.read("log");
    const std::size_t lastFrame = frameOffsets(whole)[3];
    for (std::size_t position = 0; position < lastFrame; ++position) {
        std::string changed = whole;
        changed[position] = static_cast<char>(changed[position] ^ 0x41);
        folder.write("log", changed);
        LogStorage storage;
        StoredLog stored;
        const StorageReport report = storage.open(folder.path(), stored);
        REQUIRE(report.error == ResultCode::LogDamaged);
        REQUIRE(report.detail.find("docs/CONTROL_HOSTS.md") != std::string::npos);
    }
}

// Guards against a lost or damaged snapshot, or a lost log beside a snapshot, that is taken for an empty folder.
TEST_CASE("a snapshot replaces the log and must be intact")
{
    const Folder folder("snapshot");
    writeEntries(folder, 3);
    {
        LogStorage storage;
        StoredLog stored;
        REQUIRE_FALSE(storage.open(folder.path(), stored).error);
        PersistRequest request = entryRequest(3);
        request.hardState = stored.hardState;
        request.snapshot.emplace().set_last_index(2);
        request.baseIndex = 2;
        storage.add(request);
        storage.add(entryRequest(4));
        REQUIRE_FALSE(storage.sync());
    }
    StoredLog stored;
    REQUIRE_FALSE(LogStorage().open(folder.path(), stored).error);
    CHECK(stored.baseIndex == 2);
    CHECK(stored.entries.size() == 2);
    CHECK(stored.snapshot->last_index() == 2);
    const std::string snapshot = folder.read("snapshot");
    folder.write("snapshot", snapshot.substr(0, snapshot.size() - 1));
    StoredLog second;
    CHECK(LogStorage().open(folder.path(), second).error == ResultCode::LogDamaged);
    folder.write("snapshot", snapshot);
    std::filesystem::remove(folder.file("log"));
    StoredLog third;
    CHECK(LogStorage().open(folder.path(), third).error == ResultCode::LogDamaged);
}

// Guards against two processes that write one log.
TEST_CASE("a data folder is used by one process")
{
    const Folder folder("lock");
    LogStorage first;
    LogStorage second;
    StoredLog stored;
    CHECK_FALSE(first.open(folder.path(), stored).error);
    CHECK(second.open(folder.path(), stored).error == ResultCode::StorageFailed);
}

// Guards against writes after a failed one: the file limit fails a write as a full disk does.
TEST_CASE("a full disk stops the storage for good")
{
    const Folder folder("full");
    LogStorage storage;
    StoredLog stored;
    REQUIRE_FALSE(storage.open(folder.path(), stored).error);
    storage.add(entryRequest(1));
    REQUIRE_FALSE(storage.sync());
    std::error_code whileFull;
    {
        const FullDisk disk(storage.logBytes() + 5);
        storage.add(entryRequest(2));
        whileFull = storage.sync();
    }
    CHECK(whileFull == ResultCode::StorageFailed);
    storage.add(entryRequest(2));
    CHECK(storage.sync() == ResultCode::StorageFailed);
    storage = LogStorage();
    StoredLog again;
    const StorageReport report = storage.open(folder.path(), again);
    CHECK(report.tornRecordCut);
    CHECK(again.entries.size() == 1);
}

// Guards against a member that takes part again although its disk still refuses every write, and against one that
// trusts entries which a failed sync may not have put on the disk.
TEST_CASE("after a failure the log is opened only when it can be written anew")
{
    const Folder folder("reopened");
    writeEntries(folder, 3);
    StoredLog stored;
    {
        const FullDisk disk(0);
        CHECK(
            LogStorage().open(folder.path(), stored, StorageOpening::AfterFailure).error == ResultCode::StorageFailed);
    }
    const std::string before = folder.read("log");
    LogStorage storage;
    StoredLog again;
    REQUIRE_FALSE(storage.open(folder.path(), again, StorageOpening::AfterFailure).error);
    CHECK(again.entries.size() == 3);
    CHECK(folder.read("log") != before);
    storage.add(entryRequest(4));
    REQUIRE_FALSE(storage.sync());
    storage = LogStorage();
    StoredLog last;
    REQUIRE_FALSE(storage.open(folder.path(), last).error);
    CHECK(last.hardState.identity() == again.hardState.identity());
    CHECK(last.entries.size() == 4);
}
