#pragma once

#include <Base/identifiers.h>
#include <Base/log_event.h>
#include <Configuration/document.h>
#include <Configuration/endpoint.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// Sockets of the role balancer.
struct balancer_sockets {
    endpoint packet;
    endpoint relay;
    endpoint peer;
    /// Destination of packets from the balancer to callers, such as rejections.
    endpoint callerGateway;
    auto operator<=>(balancer_sockets const&) const = default;
};

/// Sockets of the role control.
struct control_sockets {
    endpoint peer;
    endpoint distribution;
    auto operator<=>(control_sockets const&) const = default;
};

/// Endpoints of an entry host.
struct entry_host_settings {
    host_id host;
    std::string zone;
    endpoint peer;
    endpoint relay;
    auto operator<=>(entry_host_settings const&) const = default;
};

/// Endpoints of a control host.
struct control_member_settings {
    host_id host;
    endpoint peer;
    endpoint distribution;
    auto operator<=>(control_member_settings const&) const = default;
};

/// The settings file of the daemon (docs/settings.md). read() and readFile() return only valid settings.
struct daemon_settings {
    std::string deployment;
    host_id host;
    std::string zone;
    log_severity logLevel = log_severity::Information;
    endpoint http;
    /// Empty when a balancer does not store its last valid configuration.
    std::string dataFolder;
    /// Set when the host has the role balancer.
    std::optional<balancer_sockets> balancer;
    /// Set when the host has the role control.
    std::optional<control_sockets> control;
    std::vector<entry_host_settings> entryHosts;
    std::vector<control_member_settings> controlMembers;
    auto operator<=>(daemon_settings const&) const = default;

    /// @return Seed of the flow hash, derived from the name of the deployment.
    uint64_t hashSeed() const;

    /// @param text YAML.
    /// @param file Name of the source in error messages.
    /// @return The settings; InvalidArgument with file, line and key of the first error.
    static absl::StatusOr<daemon_settings> read(std::string_view text, std::string_view file);

    /// @return The settings; NotFound when the file cannot be opened, InvalidArgument for errors in it.
    static absl::StatusOr<daemon_settings> readFile(std::string const& path);
};

} // namespace bilberryyard
