#include <Consensus/posix_file_system.h>

#include <Base/error_kind.h>
#include <array>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <memory>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace bilberryyard {

namespace {

    absl::Status systemError(std::string const& operation, std::string const& path)
    {
        auto const code = errno;
        auto kind = error_kind::Internal;
        if (code == ENOSPC || code == EDQUOT)
            kind = error_kind::ResourceExhausted;
        else if (code == ENOENT)
            kind = error_kind::NotFound;
        else if (code == EACCES || code == EPERM || code == EROFS)
            kind = error_kind::PermissionDenied;
        return makeError(kind, operation + " " + path + ": " + std::generic_category().message(code));
    }

    absl::StatusOr<posix_file_system::file> open(std::string const& path, int flags)
    {
        auto const descriptor = ::open(path.c_str(), flags | O_CLOEXEC, 0640);
        if (descriptor < 0)
            return systemError("open", path);
        return posix_file_system::file(descriptor, path);
    }

} // namespace

posix_file_system::file::~file()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

absl::Status posix_file_system::file::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto const written = ::write(m_descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return systemError("write", m_path);
        bytes.remove_prefix(static_cast<size_t>(written));
    }
    return absl::OkStatus();
}

absl::Status posix_file_system::file::sync()
{
    return ::fdatasync(m_descriptor) == 0 ? absl::OkStatus() : systemError("sync", m_path);
}

absl::Status posix_file_system::createFolder(std::string const& path)
{
    if (::mkdir(path.c_str(), 0750) == 0 || errno == EEXIST)
        return absl::OkStatus();
    return systemError("create folder", path);
}

absl::StatusOr<std::vector<std::string>> posix_file_system::list(std::string const& path)
{
    std::unique_ptr<DIR, int (*)(DIR*)> const folder(::opendir(path.c_str()), ::closedir);
    if (!folder)
        return systemError("list", path);
    std::vector<std::string> names;
    // readdir() is thread-safe here because each call has its own DIR.
    while (auto const* entry = ::readdir(folder.get())) { // NOLINT(concurrency-mt-unsafe)
        std::string name = entry->d_name;
        if (name != "." && name != "..")
            names.push_back(std::move(name));
    }
    return names;
}

absl::StatusOr<std::string> posix_file_system::read(std::string const& path)
{
    auto const opened = open(path, O_RDONLY);
    if (!opened.ok())
        return opened.status();
    std::string content;
    std::array<char, 65536> buffer {};
    for (;;) {
        auto const count = ::read(opened->descriptor(), buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("read", path);
        if (count == 0)
            return content;
        content.append(buffer.data(), static_cast<size_t>(count));
    }
}

absl::Status posix_file_system::write(std::string const& path, std::string_view bytes)
{
    auto opened = open(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (!opened.ok())
        return opened.status();
    if (auto status = opened->append(bytes); !status.ok())
        return status;
    return opened->sync();
}

absl::Status posix_file_system::rename(std::string const& from, std::string const& to)
{
    return ::rename(from.c_str(), to.c_str()) == 0 ? absl::OkStatus() : systemError("rename", from);
}

absl::Status posix_file_system::remove(std::string const& path)
{
    return ::unlink(path.c_str()) == 0 ? absl::OkStatus() : systemError("remove", path);
}

absl::Status posix_file_system::truncate(std::string const& path, uint64_t size)
{
    auto opened = open(path, O_WRONLY);
    if (!opened.ok())
        return opened.status();
    if (::ftruncate(opened->descriptor(), static_cast<off_t>(size)) != 0)
        return systemError("truncate", path);
    return opened->sync();
}

absl::Status posix_file_system::syncFolder(std::string const& path)
{
    auto const folder = open(path, O_RDONLY | O_DIRECTORY);
    if (!folder.ok())
        return folder.status();
    return ::fsync(folder->descriptor()) == 0 ? absl::OkStatus() : systemError("sync folder", path);
}

absl::StatusOr<posix_file_system::file> posix_file_system::openForAppend(std::string const& path)
{
    return open(path, O_WRONLY | O_CREAT | O_APPEND);
}

absl::StatusOr<posix_file_system::lock> posix_file_system::acquireLock(std::string const& path)
{
    auto opened = open(path, O_RDWR | O_CREAT);
    if (!opened.ok())
        return opened.status();
    if (::flock(opened->descriptor(), LOCK_EX | LOCK_NB) == 0)
        return opened;
    if (errno == EWOULDBLOCK)
        return makeError(error_kind::FailedPrecondition, path + " is locked; another process uses this data folder");
    return systemError("lock", path);
}

} // namespace bilberryyard
