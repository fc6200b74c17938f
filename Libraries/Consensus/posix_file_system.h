#pragma once

#include <Consensus/file_system.h>
#include <utility>

namespace bilberryyard {

/// Implements the file_system concept with POSIX calls.
class posix_file_system {
public:
    /// Owns a file descriptor and closes it on destruction.
    class file {
    public:
        file(int descriptor, std::string path)
            : m_descriptor(descriptor)
            , m_path(std::move(path))
        {
        }
        file(file&& other) noexcept
            : m_descriptor(std::exchange(other.m_descriptor, -1))
            , m_path(std::move(other.m_path))
        {
        }
        file& operator=(file&& other) noexcept
        {
            std::swap(m_descriptor, other.m_descriptor);
            std::swap(m_path, other.m_path);
            return *this;
        }
        ~file();

        absl::Status append(std::string_view bytes);
        absl::Status sync();
        int descriptor() const { return m_descriptor; }

    private:
        int m_descriptor;
        std::string m_path;
    };

    /// The lock is held as long as the descriptor is open.
    using lock = file;

    absl::Status createFolder(std::string const& path);
    absl::StatusOr<std::vector<std::string>> list(std::string const& path);
    absl::StatusOr<std::string> read(std::string const& path);
    absl::Status write(std::string const& path, std::string_view bytes);
    absl::Status rename(std::string const& from, std::string const& to);
    absl::Status remove(std::string const& path);
    absl::Status truncate(std::string const& path, uint64_t size);
    absl::Status syncFolder(std::string const& path);
    absl::StatusOr<file> openForAppend(std::string const& path);
    absl::StatusOr<lock> acquireLock(std::string const& path);
};

static_assert(file_system<posix_file_system>);

} // namespace bilberryyard
