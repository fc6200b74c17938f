#include <Configuration/configuration.h>

#include <Base/error_kind.h>
#include <Configuration/configuration_checks.h>
#include <algorithm>
#include <utility>

namespace bilberryyard {

namespace {

    template <typename Range, typename Predicate>
    auto const* findFirst(Range const& range, Predicate predicate)
    {
        auto const entry = std::find_if(range.begin(), range.end(), predicate);
        return entry == range.end() ? nullptr : &*entry;
    }

    effective_settings withExceptions(effective_settings settings,
        std::vector<configuration_exception> const& exceptions, exception_target const& target)
    {
        for (auto const& exception : exceptions) {
            if (exception.target == target)
                settings = withSetting(settings, *findSettingKey(exception.key), exception.value);
        }
        return settings;
    }

} // namespace

configuration::configuration(configuration_parts parts)
    : m_parts(std::move(parts))
{
}

absl::StatusOr<configuration> configuration::create(configuration_parts parts)
{
    if (auto const error = findConfigurationError(parts))
        return makeError(error_kind::InvalidArgument, error->path + ": " + error->message);
    return configuration(std::move(parts));
}

service_definition const* configuration::findService(std::string_view name) const
{
    return findFirst(m_parts.services, [&](auto const& service) { return service.name == name; });
}

service_definition const* configuration::findService(service_id id) const
{
    return findFirst(m_parts.services, [&](auto const& service) { return service.id == id; });
}

service_definition const* configuration::findService(
    ip_address const& address, uint16_t port, ip_protocol protocol) const
{
    return findFirst(m_parts.services, [&](auto const& service) {
        return service.port == port && service.protocol == protocol
            && std::find(service.addresses.begin(), service.addresses.end(), address) != service.addresses.end();
    });
}

zone_definition const* configuration::findZone(std::string_view name) const
{
    return findFirst(m_parts.zones, [&](auto const& zone) { return zone.name == name; });
}

configuration_exception const* configuration::findException(exception_target const& target, std::string_view key) const
{
    return findFirst(
        m_parts.exceptions, [&](auto const& exception) { return exception.target == target && exception.key == key; });
}

effective_settings configuration::settingsOf(service_definition const& service) const
{
    auto settings = m_parts.defaults;
    for (auto const& entry : service.overrides)
        settings = withSetting(settings, *findSettingKey(entry.key), entry.value);
    return withExceptions(settings, m_parts.exceptions, { exception_target_kind::Service, service.name, {} });
}

effective_settings configuration::settingsOf(service_definition const& service, endpoint const& server) const
{
    return withExceptions(settingsOf(service), m_parts.exceptions, { exception_target_kind::Server, {}, server });
}

absl::StatusOr<configuration> configuration::withException(configuration_exception exception) const
{
    if (findException(exception.target, exception.key))
        return makeError(error_kind::Conflict,
            exception.target.toText() + " has an exception for " + exception.key + "; remove it first");
    auto parts = m_parts;
    parts.exceptions.push_back(std::move(exception));
    return create(std::move(parts));
}

absl::StatusOr<configuration> configuration::withoutException(
    exception_target const& target, std::string_view key) const
{
    auto const* exception = findException(target, key);
    if (!exception)
        return makeError(error_kind::NotFound, target.toText() + " has no exception for " + std::string(key));
    auto parts = m_parts;
    parts.exceptions.erase(parts.exceptions.begin() + (exception - m_parts.exceptions.data()));
    return create(std::move(parts));
}

} // namespace bilberryyard
