#include "bergamotd/configuration_store.h"

#include "bergamotroute/result_code.h"

#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr const char* fileName = "configuration.bin";
    constexpr std::size_t checksumBytes = sizeof(std::uint64_t);

    class Descriptor {
    public:
        explicit Descriptor(int value)
            : m_value(value)
        {
        }
        ~Descriptor()
        {
            if (m_value >= 0)
                close(m_value);
        }
        Descriptor(const Descriptor&) = delete;
        Descriptor& operator=(const Descriptor&) = delete;
        int get() const { return m_value; }

    private:
        int m_value;
    };

    std::string withChecksum(const std::string& body)
    {
        const std::uint64_t checksum = XXH3_64bits(body.data(), body.size());
        std::string bytes(checksumBytes, '\0');
        std::memcpy(bytes.data(), &checksum, checksumBytes);
        return bytes + body;
    }

    bool writeSynced(const std::string& path, const std::string& bytes)
    {
        constexpr mode_t ownerOnly = 0600;
        const Descriptor file(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, ownerOnly));
        return file.get() >= 0 && write(file.get(), bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size())
            && fsync(file.get()) == 0;
    }

    bool syncFolder(const std::string& path)
    {
        const Descriptor folder(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        return folder.get() >= 0 && fsync(folder.get()) == 0;
    }

}

ConfigurationStore::ConfigurationStore(std::string folder)
    : m_folder(std::move(folder))
{
}

std::error_code ConfigurationStore::save(const schema::Configuration& configuration) const
{
    if (m_folder.empty())
        return {};
    std::error_code error;
    std::filesystem::create_directories(m_folder, error);
    const std::string path = m_folder + '/' + fileName;
    const std::string temporary = path + ".new";
    if (!writeSynced(temporary, withChecksum(configuration.SerializeAsString())))
        return ResultCode::StorageFailed;
    if (std::rename(temporary.c_str(), path.c_str()) != 0 || !syncFolder(m_folder))
        return ResultCode::StorageFailed;
    return {};
}

std::error_code ConfigurationStore::load(schema::Configuration& configuration) const
{
    std::ifstream file(m_folder + '/' + fileName, std::ios::binary);
    if (m_folder.empty() || !file)
        return {};
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (bytes.size() < checksumBytes)
        return ResultCode::LogDamaged;
    const std::string body = bytes.substr(checksumBytes);
    schema::Configuration saved;
    if (withChecksum(body) != bytes || !saved.ParseFromString(body))
        return ResultCode::LogDamaged;
    configuration = saved;
    return {};
}

}
