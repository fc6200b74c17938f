#pragma once

#include <span>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// Describes a key of the daemon's settings file.
struct daemon_setting_key {
    /// Path of the key; "[]" stands for each element of a list.
    std::string_view path;
    /// When the key is required: "yes", "no" or for a role, for example "role control".
    std::string_view required;
    std::string_view meaning;
};

/// @return Every key, in the order in which files list them. docs/settings.md must list the same rows.
std::span<daemon_setting_key const> allDaemonSettingKeys();

/// @param parent Path of a map, for example "balancer" or "entry_hosts[]"; empty for the root.
/// @return The names of the keys that are allowed in that map.
std::vector<std::string_view> daemonSettingNames(std::string_view parent);

} // namespace bilberryyard
