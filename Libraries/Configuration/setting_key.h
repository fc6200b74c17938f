#pragma once

#include <Configuration/effective_settings.h>
#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bilberryyard {

/// A value of a setting: a count, a duration, a ratio or a switch.
using setting_value = std::variant<uint32_t, duration, double, bool>;

/// Where a setting may be given.
enum class setting_scope {
    /// Only in `defaults`: every host must use the same value for all services.
    Fleet,
    /// In `defaults`, in the overrides of a service and in exceptions on a service.
    Service,
    /// As Service, and in exceptions on a server.
    Server,
    /// Only in exceptions on a server.
    ServerOnly,
};

/// Describes a setting: its name, where it may be given, its range and its documentation.
struct setting_key {
    using member_pointer = std::variant<uint32_t effective_settings::*, duration effective_settings::*,
        double effective_settings::*, bool effective_settings::*>;

    std::string_view name;
    setting_scope scope;
    member_pointer member;
    setting_value minimum;
    setting_value maximum;
    /// One sentence for docs/settings.md.
    std::string_view meaning;
};

/// A setting given by an operator.
struct setting_entry {
    std::string key;
    setting_value value;
    auto operator<=>(setting_entry const&) const = default;
};

/// @return Every setting, in the order in which files list them.
std::span<setting_key const> allSettingKeys();

/// @param isAllowed Selects settings by scope, for example isAllowedForService.
/// @return The names of the selected settings, in the order in which files list them.
std::vector<std::string_view> settingNames(bool (*isAllowed)(setting_scope));

/// @return Whether a setting of this scope may be given in `defaults`.
constexpr bool isAllowedInDefaults(setting_scope scope) { return scope != setting_scope::ServerOnly; }
/// @return Whether a setting of this scope may be given in the overrides of a service or in an exception on a service.
constexpr bool isAllowedForService(setting_scope scope)
{
    return scope == setting_scope::Service || scope == setting_scope::Server;
}
/// @return Whether a setting of this scope may be given in an exception on a server.
constexpr bool isAllowedForServer(setting_scope scope)
{
    return scope == setting_scope::Server || scope == setting_scope::ServerOnly;
}

/// @return The setting of that name, or null when there is none.
setting_key const* findSettingKey(std::string_view name);

/// Parses a value of a setting.
/// @param text Depending on the type of the setting, for example "2", "500ms", "0.5" or "true".
/// @return The value; InvalidArgument for malformed text or a value out of range.
absl::StatusOr<setting_value> parseSettingValue(setting_key const& key, std::string_view text);

/// Checks that a value has the type of its setting and is within its range.
/// @return InvalidArgument with the allowed range.
absl::Status checkSettingValue(setting_key const& key, setting_value const& value);

/// @return Text that parseSettingValue parses to the same value.
std::string formatSettingValue(setting_value const& value);

/// @return The value that the setting has in `settings`.
setting_value settingOf(effective_settings const& settings, setting_key const& key);

/// @param value The new value; must have the type of `key`.
/// @return A copy of `settings` with the new value of that setting.
effective_settings withSetting(effective_settings settings, setting_key const& key, setting_value const& value);

/// Checks the rules that relate settings to each other.
/// @param settings The effective settings, after all overrides.
/// @return InvalidArgument that names the keys of the violated rule.
absl::Status checkSettingRules(effective_settings const& settings);

} // namespace bilberryyard
