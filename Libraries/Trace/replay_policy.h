#pragma once

#include <Trace/replay_options.h>
#include <Trace/replay_outcome.h>
#include <absl/status/statusor.h>
#include <string>

namespace bilberryyard {

/// The forwarding policies that a trace can be replayed with.
enum class replay_policy : uint8_t {
    FlowRouter,
    ConsistentHash,
    Maglev,
};

/// @param name "flow", "consistent-hash" or "maglev".
/// @return The policy, or InvalidArgument.
absl::StatusOr<replay_policy> replayPolicyOf(std::string_view name);

/// Replays a trace file.
/// @param path The file.
/// @param policy The forwarding policy.
/// @param options Mechanisms to switch off.
/// @return The outcome, or the error of the file.
absl::StatusOr<replay_outcome> replayTrace(
    std::string const& path, replay_policy policy, replay_options const& options);

} // namespace bilberryyard
