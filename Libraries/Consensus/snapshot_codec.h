#pragma once

#include <Consensus/log_snapshot.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

std::string snapshotFileName(log_index index);

/// @return The log index in the file name, or nullopt if it is not the name of a snapshot file.
std::optional<log_index> snapshotFileIndex(std::string_view name);

/// @return The content of the snapshot's file: a header record followed by data records.
std::string encodeSnapshotFile(log_snapshot const& snapshot);

/// @param path For error messages.
/// @param content The content of a snapshot file.
/// @return The snapshot, or DataLoss with path and offset.
absl::StatusOr<log_snapshot> decodeSnapshotFile(std::string const& path, std::string_view content);

} // namespace bilberryyard
