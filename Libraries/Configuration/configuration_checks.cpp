#include <Configuration/configuration_checks.h>

#include <Base/error_kind.h>
#include <Configuration/document_parser.h>
#include <Configuration/nearest_name.h>
#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace bilberryyard {

namespace {

    using optional_error = std::optional<configuration_error>;

    // The two-year plan has 16 zones and services with 3,300 addresses. The limits are at least three times that; they
    // bound the work of one change.
    constexpr size_t maximumZones = 64;
    constexpr size_t maximumServices = 10000;
    constexpr size_t maximumAddresses = 64;
    // The list of exceptions must stay short enough for an operator to read.
    constexpr size_t maximumExceptions = 500;
    constexpr size_t maximumNameLength = 64;
    constexpr size_t maximumTextLength = 500;

    std::string indexed(std::string_view list, size_t index)
    {
        return std::string(list) + "[" + std::to_string(index) + "]";
    }

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'
            || character == '_';
    }

    optional_error checkName(std::string const& path, std::string const& name)
    {
        if (auto error = findNameError(name))
            return configuration_error { path, *std::move(error) };
        return std::nullopt;
    }

    // Checks that the names and the assigned identifiers of zones or services are valid and unique.
    template <typename Definition>
    optional_error checkNamesAndIds(std::string_view list, std::vector<Definition> const& definitions)
    {
        std::set<std::string_view> names;
        std::set<uint32_t> ids;
        for (size_t index = 0; index < definitions.size(); ++index) {
            auto const& definition = definitions[index];
            auto const path = indexed(list, index);
            if (auto error = checkName(path + ".name", definition.name))
                return error;
            if (!names.insert(definition.name).second)
                return configuration_error { path + ".name", "the name '" + definition.name + "' is used twice" };
            if (definition.id.value != 0 && !ids.insert(definition.id.value).second)
                return configuration_error { path + ".id",
                    "the id " + std::to_string(definition.id.value) + " is used twice" };
        }
        return std::nullopt;
    }

    bool isUsableAddress(ip_address const& address)
    {
        static constexpr uint8_t multicastIpv6 = 0xff;
        if (address == ip_address() || address.bytes.front() == multicastIpv6)
            return false;
        if (!address.isIpv4())
            return true;
        uint32_t const ipv4 = address.toIpv4();
        // RFC 1122 section 3.2.1.3: "this network"; RFC 5771: multicast; RFC 1112 section 4: reserved, broadcast.
        return ipv4 >> 24 != 0 && ipv4 >> 28 < 0xe;
    }

    using listening_endpoint = std::tuple<ip_address, uint16_t, ip_protocol>;

    optional_error checkAddresses(std::string const& path, service_definition const& service,
        std::map<listening_endpoint, std::string>& usedEndpoints)
    {
        if (service.addresses.empty() || service.addresses.size() > maximumAddresses)
            return configuration_error { path + ".addresses", "a service has 1 to 64 addresses" };
        for (size_t index = 0; index < service.addresses.size(); ++index) {
            auto const& address = service.addresses[index];
            auto const addressPath = indexed(path + ".addresses", index);
            if (!isUsableAddress(address))
                return configuration_error { addressPath,
                    address.toText() + " is no unicast address that callers can reach" };
            auto const [entry, inserted]
                = usedEndpoints.emplace(listening_endpoint { address, service.port, service.protocol }, path);
            if (!inserted)
                return configuration_error { addressPath,
                    endpoint { address, service.port }.toText() + " is used twice, first in " + entry->second };
        }
        return std::nullopt;
    }

    std::string settingPath(std::string const& servicePath, std::string const& key)
    {
        bool const isServiceKey = key == "connection_limit" || key == "slots";
        return servicePath + (isServiceKey ? "." : ".overrides.") + key;
    }

    optional_error checkOverrides(std::string const& path, service_definition const& service)
    {
        setting_key const* previous = nullptr;
        for (auto const& entry : service.overrides) {
            auto const entryPath = settingPath(path, entry.key);
            auto const* key = findSettingKey(entry.key);
            if (!key || !isAllowedForService(key->scope))
                return configuration_error { entryPath,
                    "the key cannot be set for a service" + nameHint(entry.key, settingNames(isAllowedForService)) };
            if (previous && previous >= key)
                return configuration_error { entryPath, "the overrides are not in the order of the settings" };
            previous = key;
            if (auto const status = checkSettingValue(*key, entry.value); !status.ok())
                return configuration_error { entryPath, messageOf(status) };
        }
        return std::nullopt;
    }

    optional_error checkService(std::string const& path, service_definition const& service,
        std::map<listening_endpoint, std::string>& usedEndpoints)
    {
        if (service.port == 0)
            return configuration_error { path + ".port", "a port is 1 to 65535" };
        if (service.protocol != ip_protocol::Tcp && service.protocol != ip_protocol::Udp)
            return configuration_error { path + ".protocol", "the protocol is tcp or udp" };
        if (auto error = checkAddresses(path, service, usedEndpoints))
            return error;
        return checkOverrides(path, service);
    }

    optional_error checkExceptionKey(std::string const& path, configuration_exception const& exception)
    {
        auto const isAllowed
            = exception.target.kind == exception_target_kind::Service ? isAllowedForService : isAllowedForServer;
        auto const* key = findSettingKey(exception.key);
        if (!key || !isAllowed(key->scope))
            return configuration_error { path + ".key",
                "'" + exception.key.substr(0, maximumNameLength) + "' cannot be set for this target"
                    + nameHint(exception.key, settingNames(isAllowed)) };
        if (auto const status = checkSettingValue(*key, exception.value); !status.ok())
            return configuration_error { path + ".value", messageOf(status) };
        return std::nullopt;
    }

    optional_error checkException(std::string const& path, configuration_exception const& exception,
        std::set<std::string_view> const& serviceNames)
    {
        if (exception.target.kind == exception_target_kind::Service) {
            std::vector<std::string_view> const names(serviceNames.begin(), serviceNames.end());
            if (!serviceNames.contains(exception.target.service))
                return configuration_error { path + ".target",
                    "there is no service '" + exception.target.service.substr(0, maximumNameLength) + "'"
                        + (names.empty() ? std::string() : nameHint(exception.target.service, names)) };
        } else if (exception.target.server.port == 0) {
            return configuration_error { path + ".target", "a port is 1 to 65535" };
        }
        if (auto error = checkExceptionKey(path, exception))
            return error;
        if (auto error = findTextError(exception.reason))
            return configuration_error { path + ".reason", *error };
        if (auto error = findTextError(exception.author))
            return configuration_error { path + ".author", *error };
        return std::nullopt;
    }

    optional_error checkExceptions(configuration_parts const& parts)
    {
        if (parts.exceptions.size() > maximumExceptions)
            return configuration_error { "exceptions", "more than 500 exceptions; change the defaults instead" };
        std::set<std::string_view> serviceNames;
        for (auto const& service : parts.services)
            serviceNames.insert(service.name);
        std::set<std::pair<exception_target, std::string_view>> seen;
        for (size_t index = 0; index < parts.exceptions.size(); ++index) {
            auto const& exception = parts.exceptions[index];
            auto const path = indexed("exceptions", index);
            if (auto error = checkException(path, exception, serviceNames))
                return error;
            if (!seen.emplace(exception.target, exception.key).second)
                return configuration_error { path + ".key",
                    exception.target.toText() + " has two exceptions for " + exception.key };
        }
        return std::nullopt;
    }

    optional_error checkDefaults(configuration_parts const& parts)
    {
        for (auto const& key : allSettingKeys()) {
            if (auto const status = checkSettingValue(key, settingOf(parts.defaults, key)); !status.ok())
                return configuration_error { "defaults." + std::string(key.name), messageOf(status) };
        }
        if (parts.defaults.drain)
            return configuration_error { "defaults.drain", "the key can only be set by an exception on a server" };
        if (auto const status = checkSettingRules(parts.defaults); !status.ok())
            return configuration_error { "defaults", messageOf(status) };
        return std::nullopt;
    }

    // The rules that relate settings to each other must also hold after exceptions. They concern only settings that
    // cannot be set per server, so exceptions on servers are skipped.
    optional_error checkEffectiveRules(configuration_parts const& parts)
    {
        std::map<std::string_view, effective_settings> settings;
        for (size_t index = 0; index < parts.services.size(); ++index) {
            auto const& service = parts.services[index];
            auto values = parts.defaults;
            for (auto const& entry : service.overrides)
                values = withSetting(values, *findSettingKey(entry.key), entry.value);
            if (auto const status = checkSettingRules(values); !status.ok())
                return configuration_error { indexed("services", index) + ".overrides", messageOf(status) };
            settings.emplace(service.name, values);
        }
        std::map<std::string_view, size_t> lastException;
        for (size_t index = 0; index < parts.exceptions.size(); ++index) {
            auto const& exception = parts.exceptions[index];
            if (exception.target.kind != exception_target_kind::Service)
                continue;
            auto& values = settings.at(exception.target.service);
            values = withSetting(values, *findSettingKey(exception.key), exception.value);
            lastException[exception.target.service] = index;
        }
        for (auto const& [service, index] : lastException) {
            if (auto const status = checkSettingRules(settings.at(service)); !status.ok())
                return configuration_error { indexed("exceptions", index), messageOf(status) };
        }
        return std::nullopt;
    }

} // namespace

std::optional<std::string> findNameError(std::string_view name)
{
    if (name.empty() || name.size() > maximumNameLength || name.front() < 'a' || name.front() > 'z'
        || !std::all_of(name.begin(), name.end(), isNameCharacter))
        return "a name is 1 to 64 characters a-z, 0-9, '-' and '_', the first one a letter";
    return std::nullopt;
}

std::optional<std::string> findTextError(std::string_view text)
{
    if (text.find_first_not_of(" \t") == std::string_view::npos)
        return "must not be empty";
    if (text.size() > maximumTextLength)
        return "is longer than 500 bytes";
    if (!isValidText(text) || text.find_first_of("\r\n") != std::string_view::npos)
        return "must be one line of UTF-8 text without control characters";
    return std::nullopt;
}

std::optional<configuration_error> findConfigurationError(configuration_parts const& parts)
{
    if (auto error = checkDefaults(parts))
        return error;
    if (parts.zones.size() > maximumZones)
        return configuration_error { "zones", "more than 64 zones" };
    if (auto error = checkNamesAndIds("zones", parts.zones))
        return error;
    if (parts.services.size() > maximumServices)
        return configuration_error { "services", "more than 10000 services" };
    if (auto error = checkNamesAndIds("services", parts.services))
        return error;
    std::map<listening_endpoint, std::string> usedEndpoints;
    for (size_t index = 0; index < parts.services.size(); ++index) {
        if (auto error = checkService(indexed("services", index), parts.services[index], usedEndpoints))
            return error;
    }
    if (auto error = checkExceptions(parts))
        return error;
    return checkEffectiveRules(parts);
}

} // namespace bilberryyard
