#pragma once

#include <Configuration/configuration_exception.h>
#include <Configuration/effective_settings.h>
#include <Configuration/service_definition.h>
#include <Configuration/zone_definition.h>
#include <absl/status/statusor.h>
#include <compare>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// The contents of a configuration before validation.
struct configuration_parts {
    effective_settings defaults;
    std::vector<zone_definition> zones;
    std::vector<service_definition> services;
    std::vector<configuration_exception> exceptions;
    auto operator<=>(configuration_parts const&) const = default;
};

/// The validated, immutable configuration that all hosts of a deployment share (docs/design.md section 4).
class configuration {
public:
    /// Creates an empty configuration with the initial defaults.
    configuration() = default;

    /// Validates the parts.
    /// @return The configuration; InvalidArgument with the path of the invalid entry and the violated rule.
    static absl::StatusOr<configuration> create(configuration_parts parts);

    configuration_parts const& parts() const { return m_parts; }
    effective_settings const& defaults() const { return m_parts.defaults; }
    std::vector<zone_definition> const& zones() const { return m_parts.zones; }
    std::vector<service_definition> const& services() const { return m_parts.services; }
    std::vector<configuration_exception> const& exceptions() const { return m_parts.exceptions; }

    /// @return The service with this name, or null.
    service_definition const* findService(std::string_view name) const;
    /// @return The service with this identifier, or null.
    service_definition const* findService(service_id id) const;
    /// Finds a service by the destination of a packet.
    /// @return The service, or null.
    service_definition const* findService(ip_address const& address, uint16_t port, ip_protocol protocol) const;
    /// @return The zone with this name, or null.
    zone_definition const* findZone(std::string_view name) const;
    /// @return The exception with this target and key, or null.
    configuration_exception const* findException(exception_target const& target, std::string_view key) const;

    /// @param service A service of this configuration.
    /// @return The effective settings of a service: defaults, then its overrides, then exceptions on it.
    effective_settings settingsOf(service_definition const& service) const;

    /// @param service The service of this configuration that the server registered for.
    /// @param server Registered address and port.
    /// @return The effective settings of a backend server: those of its service, then exceptions on the server.
    effective_settings settingsOf(service_definition const& service, endpoint const& server) const;

    /// Adds an exception.
    /// @return The new configuration; Conflict when the target already has an exception for the key, InvalidArgument
    ///     when the exception is invalid.
    absl::StatusOr<configuration> withException(configuration_exception exception) const;

    /// Removes an exception.
    /// @return The new configuration; NotFound when there is no such exception.
    absl::StatusOr<configuration> withoutException(exception_target const& target, std::string_view key) const;

    auto operator<=>(configuration const&) const = default;

private:
    explicit configuration(configuration_parts parts);

    configuration_parts m_parts;
};

} // namespace bilberryyard
