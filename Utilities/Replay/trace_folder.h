#pragma once

#include <Trace/replay_policy.h>
#include <Trace/stated_outcomes.h>
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberryyard {

/// How much runTraces() prints.
enum class outcome_detail : uint8_t {
    Stated,
    Everything,
};

/// A trace with the file of its stated outcomes.
struct stated_trace {
    std::string name;
    std::string path;
    stated_outcomes stated;
    bool operator==(stated_trace const&) const = default;
};

/// @param folder Folder with NAME.trace and NAME.yaml.
/// @param only Names to read; all when empty.
/// @return The traces in order of name; NotFound for a name without a file and for an empty folder.
absl::StatusOr<std::vector<stated_trace>> readTraceFolder(
    std::string const& folder, std::vector<std::string> const& only);

/// Replays traces and compares each with its stated outcomes, several at a time.
/// @param folder Folder of the traces.
/// @param only Names; all when empty.
/// @param policy The forwarding policy.
/// @param options Mechanisms to switch off.
/// @param detail Whether every outcome is printed, not only the stated ones.
/// @return Exit code: 0 when all outcomes are as stated.
int runTraces(std::string const& folder, std::vector<std::string> const& only, replay_policy policy,
    replay_options const& options, outcome_detail detail);

/// Replays each trace once for each mechanism that its file names, and expects the named outcome to differ.
/// @param folder Folder of the traces.
/// @param only Names; all when empty.
/// @return Exit code: 0 when every absence was noticed.
int runAbsences(std::string const& folder, std::vector<std::string> const& only);

} // namespace bilberryyard
