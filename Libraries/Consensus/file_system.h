#pragma once

#include <absl/status/statusor.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// An open file to which bytes are appended.
template <typename File>
concept appendable_file = std::movable<File> && requires(File file, std::string_view bytes)
{
    /// Writes all bytes or fails; after a failure, a prefix of them may have been written.
    {
        file.append(bytes)
        } -> std::same_as<absl::Status>;
    /// Makes all bytes written so far durable.
    {
        file.sync()
        } -> std::same_as<absl::Status>;
};

/// The file system operations that the storage requires. Tests implement them to inject lost writes, torn writes and
/// errors. Creating, renaming and removing a file becomes durable only with syncFolder().
template <typename FileSystem>
concept file_system = appendable_file<typename FileSystem::file> && std::movable<typename FileSystem::lock> && requires(
    FileSystem& files, std::string const& path, std::string_view bytes, uint64_t size)
{
    /// Creates the folder if it does not exist.
    {
        files.createFolder(path)
        } -> std::same_as<absl::Status>;
    /// Returns the names of the folder's entries, without "." and "..".
    {
        files.list(path)
        } -> std::same_as<absl::StatusOr<std::vector<std::string>>>;
    /// Returns the content of a file; NotFound if it does not exist.
    {
        files.read(path)
        } -> std::same_as<absl::StatusOr<std::string>>;
    /// Creates or overwrites a file and syncs its content.
    {
        files.write(path, bytes)
        } -> std::same_as<absl::Status>;
    {
        files.rename(path, path)
        } -> std::same_as<absl::Status>;
    {
        files.remove(path)
        } -> std::same_as<absl::Status>;
    /// Shortens a file and syncs it.
    {
        files.truncate(path, size)
        } -> std::same_as<absl::Status>;
    {
        files.syncFolder(path)
        } -> std::same_as<absl::Status>;
    /// Opens a file for appending and creates it if it does not exist.
    {
        files.openForAppend(path)
        } -> std::same_as<absl::StatusOr<typename FileSystem::file>>;
    /// Acquires an advisory lock; FailedPrecondition if another process holds it.
    {
        files.acquireLock(path)
        } -> std::same_as<absl::StatusOr<typename FileSystem::lock>>;
};

/// Replaces a file atomically: after a crash it has either the old or the new content.
/// @param name Name of the file in `folder`.
/// @return Ok once the new content is durable.
template <file_system FileSystem>
absl::Status replaceFile(FileSystem& files, std::string const& folder, std::string const& name, std::string_view bytes)
{
    auto const path = folder + "/" + name;
    auto const temporary = path + ".temporary";
    if (auto status = files.write(temporary, bytes); !status.ok())
        return status;
    if (auto status = files.rename(temporary, path); !status.ok())
        return status;
    return files.syncFolder(folder);
}

} // namespace bilberryyard
