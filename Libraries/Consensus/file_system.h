#pragma once

#include <absl/status/statusor.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// An open file that is written at its end.
template <typename File>
concept appendable_file = std::movable<File> && requires(File file, std::string_view bytes)
{
    /// Writes all bytes or fails; a failure may leave a part of them.
    {
        file.append(bytes)
        } -> std::same_as<absl::Status>;
    /// Makes everything written so far durable.
    {
        file.sync()
        } -> std::same_as<absl::Status>;
};

/// What the storage needs of a file system. Tests inject lost and torn writes and errors through it.
/// Names are made durable by syncFolder only.
template <typename FileSystem>
concept file_system = appendable_file<typename FileSystem::file> && std::movable<typename FileSystem::lock> && requires(
    FileSystem& files, std::string const& path, std::string_view bytes, uint64_t size)
{
    /// Creates the folder unless it exists.
    {
        files.createFolder(path)
        } -> std::same_as<absl::Status>;
    /// Names of the entries, without "." and "..".
    {
        files.list(path)
        } -> std::same_as<absl::StatusOr<std::vector<std::string>>>;
    /// NotFound when the file does not exist.
    {
        files.read(path)
        } -> std::same_as<absl::StatusOr<std::string>>;
    /// Creates or replaces a file with the bytes, synced.
    {
        files.write(path, bytes)
        } -> std::same_as<absl::Status>;
    {
        files.rename(path, path)
        } -> std::same_as<absl::Status>;
    {
        files.remove(path)
        } -> std::same_as<absl::Status>;
    /// Shortens a file, synced.
    {
        files.truncate(path, size)
        } -> std::same_as<absl::Status>;
    {
        files.syncFolder(path)
        } -> std::same_as<absl::Status>;
    /// Opens a file for appending, creating it unless it exists.
    {
        files.openForAppend(path)
        } -> std::same_as<absl::StatusOr<typename FileSystem::file>>;
    /// Takes an advisory lock; FailedPrecondition when another process holds it.
    {
        files.acquireLock(path)
        } -> std::same_as<absl::StatusOr<typename FileSystem::lock>>;
};

/// Replaces a file so that after a crash either the old or the new content is found.
/// @param files The file system.
/// @param folder The folder.
/// @param name Name of the file in it.
/// @param bytes The new content.
/// @return Ok when the new content is durable.
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
