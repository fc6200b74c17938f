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
struct stated_limit {
    std::optional<double> atLeast;
    std::optional<double> atMost;
    auto operator<=>(stated_limit const&) const = default;

    bool holds(double value) const { return (!atLeast || value >= *atLeast) && (!atMost || value <= *atMost); }
    /// @return How far the value is outside the limits; 0 within them.
    double excess(double value) const;
    /// @return "at most 0".
    std::string toText() const;
};

/// A mechanism whose absence must break one of the limits.
struct stated_absence {
    /// A name of replayMechanismNames or "router=NAME".
    std::string mechanism;
    /// The outcome that must leave its limits.
    std::string breaks;
    auto operator<=>(stated_absence const&) const = default;
};

/// What must come out of the replay of a trace; a YAML file beside it.
struct stated_outcomes {
    std::string proves;
    std::string statement;
    std::map<std::string, stated_limit> limits;
    std::vector<stated_absence> absences;
    bool operator==(stated_outcomes const&) const = default;

    /// @param path The file.
    /// @return The outcomes; NotFound without the file, InvalidArgument that names file and key for anything
    ///     that is not understood.
    static absl::StatusOr<stated_outcomes> read(std::string const& path);

    /// @param metrics What a replay found.
    /// @return One line for each limit that does not hold.
    std::vector<std::string> differences(std::map<std::string, double> const& metrics) const;
};

} // namespace bilberryyard
