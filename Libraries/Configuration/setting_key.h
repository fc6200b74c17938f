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

/// One row of the table of settings.
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

/// @return The names of all settings that may be given in a scope.
/// @param isAllowed Chooses the scopes.
std::vector<std::string_view> settingNames(bool (*isAllowed)(setting_scope));

/// @param scope Scope of a setting.
/// @return Whether the setting may stand in `defaults`.
constexpr bool isAllowedInDefaults(setting_scope scope) { return scope != setting_scope::ServerOnly; }
/// @param scope Scope of a setting.
/// @return Whether the setting may stand in the overrides of a service or in an exception on a service.
constexpr bool isAllowedForService(setting_scope scope)
{
    return scope == setting_scope::Service || scope == setting_scope::Server;
}
/// @param scope Scope of a setting.
/// @return Whether the setting may stand in an exception on a server.
constexpr bool isAllowedForServer(setting_scope scope)
{
    return scope == setting_scope::Server || scope == setting_scope::ServerOnly;
}

/// @param name Name of a setting.
/// @return Its row, or null for an unknown name.
setting_key const* findSettingKey(std::string_view name);

/// Reads a value of a setting.
/// @param key The setting.
/// @param text "2", "500ms", "0.5" or "true", by the kind of the setting.
/// @return The value; InvalidArgument for another form or a value outside the range.
absl::StatusOr<setting_value> parseSettingValue(setting_key const& key, std::string_view text);

/// Checks that a value has the kind and range of its setting.
/// @param key The setting.
/// @param value The value.
/// @return InvalidArgument with the allowed range.
absl::Status checkSettingValue(setting_key const& key, setting_value const& value);

/// @param value A value.
/// @return Text that parseSettingValue reads as the same value.
std::string formatSettingValue(setting_value const& value);

/// @param settings Any settings.
/// @param key A setting.
/// @return The value of that setting.
setting_value settingOf(effective_settings const& settings, setting_key const& key);

/// @param settings Settings to start from.
/// @param key The setting to change; `value` has its kind.
/// @param value The new value.
/// @return The settings with the changed value.
effective_settings withSetting(effective_settings settings, setting_key const& key, setting_value const& value);

/// Checks the rules between settings.
/// @param settings Settings after all overrides.
/// @return InvalidArgument that names the keys of the violated rule.
absl::Status checkSettingRules(effective_settings const& settings);

} // namespace bilberryyard
