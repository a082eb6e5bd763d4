#pragma once

/// @file
/// Files that are durable only once they are synced.

#include <string>
#include <string_view>
#include <system_error>

namespace bergamotroute {

/// An open file descriptor, closed at the end of its life.
class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~FileDescriptor();
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    FileDescriptor(FileDescriptor&& other) noexcept;
    FileDescriptor& operator=(FileDescriptor&& other) noexcept;

    int get() const { return m_descriptor; }
    bool isOpen() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

/// Reads a whole file.
/// @param[out] content the bytes; empty if the file does not exist.
/// @return true in `exists` if the file exists; the error of the system otherwise.
std::error_code readFile(const std::string& path, std::string& content, bool& exists);

/// Writes all bytes. A short write is continued.
std::error_code writeAll(int descriptor, std::string_view bytes);

/// Replaces a file: writes a new one beside it, syncs it, renames it and syncs the folder.
std::error_code replaceFile(const std::string& folder, const std::string& name, std::string_view content);

/// Makes the names in a folder durable.
std::error_code syncFolder(const std::string& folder);

}
