#pragma once

#include <Consensus/log_snapshot.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

/// @param index Index of a snapshot.
/// @return Its file name.
std::string snapshotFileName(log_index index);

/// @param name A file name.
/// @return The index when the file is a snapshot.
std::optional<log_index> snapshotFileIndex(std::string_view name);

/// @param snapshot A snapshot.
/// @return The content of its file: a header record and records of the data.
std::string encodeSnapshotFile(log_snapshot const& snapshot);

/// @param path For error messages.
/// @param content The content of a snapshot file.
/// @return The snapshot; DataLoss naming file and offset.
absl::StatusOr<log_snapshot> decodeSnapshotFile(std::string const& path, std::string_view content);

} // namespace bilberryyard
