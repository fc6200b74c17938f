#pragma once

#include <Trace/replay_outcome.h>
#include <absl/status/statusor.h>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberryyard {

/// Limits of one outcome.
struct expected_limits {
    std::optional<double> atLeast;
    std::optional<double> atMost;
    auto operator<=>(expected_limits const&) const = default;

    bool holds(double value) const { return (!atLeast || value >= *atLeast) && (!atMost || value <= *atMost); }
    /// @return How far the value is outside the limits; 0 within them.
    double excess(double value) const;
    /// @return For example "at most 0".
    std::string toText() const;
};

/// A mechanism without which an outcome must be outside its limits, or further outside than with the mechanism.
struct expected_ablation_failure {
    /// A name of replayMechanismNames or "router=NAME".
    std::string mechanism;
    /// The outcome that must leave its limits.
    std::string violatedOutcome;
    auto operator<=>(expected_ablation_failure const&) const = default;
};

/// Expected outcomes of the replay of a trace, read from a YAML file beside the trace.
struct expected_outcomes {
    /// Guarantee or failure case that the trace covers, for example "P1".
    std::string requirement;
    std::string statement;
    std::map<std::string, expected_limits> limits;
    std::vector<expected_ablation_failure> ablations;
    bool operator==(expected_outcomes const&) const = default;

    /// @return The outcomes; NotFound when the file cannot be opened; InvalidArgument with the file and key for an
    ///     unknown key or a malformed value.
    static absl::StatusOr<expected_outcomes> read(std::string const& path);

    /// @param metrics Measured outcomes by name.
    /// @return One line for each outcome that is outside its limits or was not measured.
    std::vector<std::string> differences(std::map<std::string, double> const& metrics) const;
};

} // namespace bilberryyard
