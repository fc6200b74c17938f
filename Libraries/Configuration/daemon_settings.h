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
    /// Where packets from the system to callers are sent.
    endpoint callerGateway;
    auto operator<=>(balancer_sockets const&) const = default;
};

/// Sockets of the role control.
struct control_sockets {
    endpoint peer;
    endpoint distribution;
    auto operator<=>(control_sockets const&) const = default;
};

/// How an entry host is reached.
struct entry_host_settings {
    host_id host;
    std::string zone;
    endpoint peer;
    endpoint relay;
    auto operator<=>(entry_host_settings const&) const = default;
};

/// How a control host is reached.
struct control_member_settings {
    host_id host;
    endpoint peer;
    endpoint distribution;
    auto operator<=>(control_member_settings const&) const = default;
};

/// The settings file of the daemon (docs/settings.md). A value made by a reader is valid.
struct daemon_settings {
    std::string deployment;
    host_id host;
    std::string zone;
    log_severity logLevel = log_severity::Information;
    endpoint http;
    /// Empty when a balancer keeps no file.
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
    /// @param file Name of the source for messages.
    /// @return The settings; InvalidArgument with file, line and key.
    static absl::StatusOr<daemon_settings> read(std::string_view text, std::string_view file);

    /// @param path The settings file.
    /// @return The settings; NotFound when the file cannot be opened.
    static absl::StatusOr<daemon_settings> readFile(std::string const& path);
};

} // namespace bilberryyard
