#pragma once

#include <Trace/replay_options.h>
#include <Trace/replay_outcome.h>
#include <absl/status/statusor.h>
#include <string>

namespace bilberryyard {

/// Forwarding policy with which a trace is replayed.
enum class replay_policy : uint8_t {
    FlowRouter,
    ConsistentHash,
    Maglev,
};

/// @param name "flow", "consistent-hash" or "maglev".
/// @return The policy, or InvalidArgument for an unknown name.
absl::StatusOr<replay_policy> replayPolicyOf(std::string_view name);

/// Replays a trace file.
/// @return The outcome, or an error when the file cannot be read or an input does not fit its header.
absl::StatusOr<replay_outcome> replayTrace(
    std::string const& path, replay_policy policy, replay_options const& options);

} // namespace bilberryyard
