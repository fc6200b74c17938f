#pragma once

#include <Configuration/configuration.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// The lowest numbers that have never been assigned.
struct identifier_watermarks {
    uint32_t nextServiceId = 1;
    uint32_t nextZoneId = 1;
    auto operator<=>(identifier_watermarks const&) const = default;
};

/// A configuration whose zones and services all have numbers.
struct assigned_configuration {
    configuration value;
    identifier_watermarks watermarks;
    auto operator<=>(assigned_configuration const&) const = default;
};

/// Gives a number to each zone and service that has none: the number that its name has now, otherwise a
/// number that was never used. Flow tables on every host are keyed by these numbers, so a number
/// that a removed service had is refused.
/// @param wanted The new configuration.
/// @param current The configuration that it replaces.
/// @param watermarks Numbers assigned so far.
/// @return The numbered configuration; InvalidArgument when a given number was used before by another service.
absl::StatusOr<assigned_configuration> assignIdentifiers(
    configuration const& wanted, configuration const& current, identifier_watermarks watermarks);

} // namespace bilberryyard
