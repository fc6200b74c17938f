#pragma once

#include <Configuration/configuration.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// The lowest identifiers that have never been assigned.
struct identifier_watermarks {
    uint32_t nextServiceId = 1;
    uint32_t nextZoneId = 1;
    auto operator<=>(identifier_watermarks const&) const = default;
};

/// A configuration whose zones and services all have identifiers.
struct assigned_configuration {
    configuration value;
    identifier_watermarks watermarks;
    auto operator<=>(assigned_configuration const&) const = default;
};

/// Assigns an identifier to each zone and service that has none: the identifier of the entry of the same name in the
/// current configuration, otherwise one that was never used. Flow tables on every host are keyed by these identifiers,
/// so the identifier of a removed entry must not be reused.
/// @param requested The new configuration.
/// @param current The configuration that it replaces.
/// @param watermarks Identifiers below these were assigned before.
/// @return InvalidArgument when the new configuration contains an identifier that a removed entry had, that is too
///     large, or that differs from the current one of the same name. ResourceExhausted when no identifier is left.
absl::StatusOr<assigned_configuration> assignIdentifiers(
    configuration const& requested, configuration const& current, identifier_watermarks watermarks);

} // namespace bilberryyard
