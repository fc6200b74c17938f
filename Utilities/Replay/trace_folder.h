#pragma once

#include <Trace/expected_outcomes.h>
#include <Trace/replay_policy.h>
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberryyard {

/// Which outcomes runTraces() prints.
enum class outcome_detail : uint8_t {
    Expected,
    All,
};

/// Trace with its expected outcomes.
struct trace_with_expectations {
    std::string name;
    std::string path;
    expected_outcomes expected;
    bool operator==(trace_with_expectations const&) const = default;
};

/// @param folder Folder with a NAME.trace and a NAME.yaml for each trace.
/// @param only Names of the traces to read; all when empty.
/// @return The traces in the order of `only`, or sorted by name when it is empty; NotFound when a name has no YAML file
///     or the folder has no traces.
absl::StatusOr<std::vector<trace_with_expectations>> readTraceFolder(
    std::string const& folder, std::vector<std::string> const& only);

/// Replays traces, several at a time, and compares each with its expected outcomes.
/// @param only Names of the traces to replay; all when empty.
/// @return Exit code: 0 when all outcomes are as expected.
int runTraces(std::string const& folder, std::vector<std::string> const& only, replay_policy policy,
    replay_options const& options, outcome_detail detail);

/// Replays each trace with and without each mechanism that its YAML file lists in fails_without, and checks that the
/// listed outcome is further outside its limits without the mechanism.
/// @param only Names of the traces to replay; all when empty.
/// @return Exit code: 0 when this holds for every mechanism and each trace lists at least one.
int runAblations(std::string const& folder, std::vector<std::string> const& only);

} // namespace bilberryyard
