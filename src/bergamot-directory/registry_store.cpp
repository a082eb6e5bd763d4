#include "bergamot-directory/registry_store.h"

#include "libbergamotio/durable_file.h"
#include "libbergamotio/log.h"
#include "libbergamotio/log_frames.h"

#include <utility>

namespace bergamotroute {

namespace {

    constexpr const char* fileName = "targets";

}

schema::SavedDirectory RegistryStore::load() const
{
    std::string content;
    bool exists = false;
    const std::error_code error = readFile(m_folder + '/' + fileName, content, exists);
    if (!exists && !error)
        return {};
    const FrameScan scan = scanFrames(content);
    schema::SavedDirectory saved;
    const bool intact = !error && scan.payloads.size() == 1
        && saved.ParseFromArray(scan.payloads[0].data(), static_cast<int>(scan.payloads[0].size()));
    if (!intact) {
        writeLog(LogLevel::Warning, ResultCode::LogDamaged, "ignoring the stored target registry",
            { { "detail", error ? error.message() : "damaged" } });
        return {};
    }
    return saved;
}

void RegistryStore::save(const schema::SavedDirectory& directory)
{
    const std::error_code error = replaceFile(m_folder, fileName, makeFrame(directory.SerializeAsString()));
    if (error && !m_saveFailed)
        writeLog(LogLevel::Warning, ResultCode::StorageFailed, "cannot save the target registry",
            { { "detail", error.message() } });
    m_saveFailed = static_cast<bool>(error);
}

}
