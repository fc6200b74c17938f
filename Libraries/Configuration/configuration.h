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

/// The parts of a configuration before they have been checked.
struct configuration_parts {
    effective_settings defaults;
    std::vector<zone_definition> zones;
    std::vector<service_definition> services;
    std::vector<configuration_exception> exceptions;
    auto operator<=>(configuration_parts const&) const = default;
};

/// The shared configuration of a deployment (docs/design.md section 4). Immutable; always valid.
class configuration {
public:
    /// An empty configuration with the initial defaults.
    configuration() = default;

    /// @param parts The parts.
    /// @return The configuration, or InvalidArgument that names the part and the violated rule.
    static absl::StatusOr<configuration> create(configuration_parts parts);

    configuration_parts const& parts() const { return m_parts; }
    effective_settings const& defaults() const { return m_parts.defaults; }
    std::vector<zone_definition> const& zones() const { return m_parts.zones; }
    std::vector<service_definition> const& services() const { return m_parts.services; }
    std::vector<configuration_exception> const& exceptions() const { return m_parts.exceptions; }

    /// @param name Name of a service.
    /// @return The service, or null.
    service_definition const* findService(std::string_view name) const;
    /// @param id Number of a service.
    /// @return The service, or null.
    service_definition const* findService(service_id id) const;
    /// @param address Destination address of a packet.
    /// @param port Destination port of a packet.
    /// @param protocol Tcp or Udp.
    /// @return The service that callers reach there, or null.
    service_definition const* findService(ip_address const& address, uint16_t port, ip_protocol protocol) const;
    /// @param name Name of a zone.
    /// @return The zone, or null.
    zone_definition const* findZone(std::string_view name) const;
    /// @param target Target of an exception.
    /// @param key Its key.
    /// @return The exception, or null.
    configuration_exception const* findException(exception_target const& target, std::string_view key) const;

    /// Settings of a service: defaults, then its overrides, then exceptions on it.
    /// @param service A service of this configuration.
    /// @return The settings in effect.
    effective_settings settingsOf(service_definition const& service) const;

    /// Settings of a backend server: those of its service, then exceptions on the server.
    /// @param service The service that the server registered for.
    /// @param server Registered address and port.
    /// @return The settings in effect.
    effective_settings settingsOf(service_definition const& service, endpoint const& server) const;

    /// @param exception The exception to add.
    /// @return The new configuration; Conflict when the target has an exception for the key.
    absl::StatusOr<configuration> withException(configuration_exception exception) const;

    /// @param target Target of the exception to remove.
    /// @param key Its key.
    /// @return The new configuration; NotFound when there is no such exception.
    absl::StatusOr<configuration> withoutException(exception_target const& target, std::string_view key) const;

    auto operator<=>(configuration const&) const = default;

private:
    explicit configuration(configuration_parts parts);

    configuration_parts m_parts;
};

} // namespace bilberryyard
