#pragma once

#include <Base/error_kind.h>
#include <Consensus/file_system.h>
#include <Consensus/snapshot_codec.h>
#include <memory>
#include <utility>

namespace bilberryyard {

/// Stores the latest snapshot of a member in a data folder that the caller has locked.
template <file_system FileSystem>
class snapshot_store {
public:
    /// Opens the store and reads the latest snapshot.
    /// @param files Must outlive the store.
    /// @param folder An existing folder.
    /// @return The store; DataLoss with path and offset if the snapshot is damaged.
    static absl::StatusOr<snapshot_store> create(FileSystem& files, std::string folder)
    {
        snapshot_store store(files, std::move(folder));
        auto const indices = store.savedIndices();
        if (!indices.ok())
            return indices.status();
        if (indices->empty())
            return store;
        auto const path = store.m_folder + "/" + snapshotFileName(indices->back());
        auto const content = files.read(path);
        if (!content.ok())
            return content.status();
        auto snapshot = decodeSnapshotFile(path, *content);
        if (!snapshot.ok())
            return snapshot.status();
        if (snapshot->index != indices->back())
            return makeError(error_kind::DataLoss,
                path + " is damaged at offset 0: the snapshot has another index than the file name");
        store.m_latest = std::make_shared<log_snapshot const>(*std::move(snapshot));
        return store;
    }

    /// @return The latest snapshot, or null.
    std::shared_ptr<log_snapshot const> latest() const { return m_latest; }

    /// Saves a snapshot and deletes the previous ones.
    /// @return Ok once the snapshot is durable and the previous ones are deleted.
    absl::Status save(std::shared_ptr<log_snapshot const> snapshot)
    {
        auto const name = snapshotFileName(snapshot->index);
        if (auto status = replaceFile(*m_files, m_folder, name, encodeSnapshotFile(*snapshot)); !status.ok())
            return status;
        m_latest = std::move(snapshot);
        auto const indices = savedIndices();
        if (!indices.ok())
            return indices.status();
        for (auto const index : *indices) {
            if (index >= m_latest->index)
                continue;
            if (auto status = m_files->remove(m_folder + "/" + snapshotFileName(index)); !status.ok())
                return status;
        }
        return absl::OkStatus();
    }

private:
    snapshot_store(FileSystem& files, std::string folder)
        : m_files(&files)
        , m_folder(std::move(folder))
    {
    }

    absl::StatusOr<std::vector<log_index>> savedIndices() const
    {
        auto const names = m_files->list(m_folder);
        if (!names.ok())
            return names.status();
        std::vector<log_index> indices;
        for (auto const& name : *names) {
            if (auto const index = snapshotFileIndex(name))
                indices.push_back(*index);
        }
        std::sort(indices.begin(), indices.end());
        return indices;
    }

    FileSystem* m_files;
    std::string m_folder;
    std::shared_ptr<log_snapshot const> m_latest;
};

} // namespace bilberryyard
