#include <Configuration/configuration_codec.h>

#include <Base/error_kind.h>
#include <Messages/configuration.pb.h>
#include <algorithm>
#include <utility>

namespace bilberryyard {

namespace {

    absl::Status malformedError(std::string_view what)
    {
        return makeError(error_kind::InvalidArgument, "the message holds a malformed " + std::string(what));
    }

    void toMessage(std::string_view key, setting_value const& value, messages::ConfigurationSetting& message)
    {
        message.set_key(key.data(), key.size());
        if (auto const* count = std::get_if<uint32_t>(&value))
            message.set_count(*count);
        else if (auto const* durationValue = std::get_if<duration>(&value))
            message.set_duration_nanoseconds(durationValue->count());
        else if (auto const* ratio = std::get_if<double>(&value))
            message.set_ratio(*ratio);
        else
            message.set_flag(std::get<bool>(value));
    }

    absl::StatusOr<setting_value> valueOf(messages::ConfigurationSetting const& message)
    {
        switch (message.value_case()) {
        case messages::ConfigurationSetting::kCount:
            return setting_value(message.count());
        case messages::ConfigurationSetting::kDurationNanoseconds:
            return setting_value(duration(message.duration_nanoseconds()));
        case messages::ConfigurationSetting::kRatio:
            return setting_value(message.ratio());
        case messages::ConfigurationSetting::kFlag:
            return setting_value(message.flag());
        case messages::ConfigurationSetting::VALUE_NOT_SET:
            break;
        }
        return malformedError("setting");
    }

    absl::Status readDefaults(messages::Configuration const& message, effective_settings& defaults)
    {
        for (auto const& setting : message.defaults()) {
            auto const* key = findSettingKey(setting.key());
            auto const value = valueOf(setting);
            if (!key || !value.ok())
                return malformedError("default");
            if (auto status = checkSettingValue(*key, *value); !status.ok())
                return status;
            defaults = withSetting(defaults, *key, *value);
        }
        return absl::OkStatus();
    }

    absl::StatusOr<service_definition> serviceFrom(messages::ConfigurationService const& message)
    {
        service_definition service { message.name(), service_id { message.id() }, {}, 0, ip_protocol::Tcp, {} };
        for (auto const& bytes : message.addresses()) {
            ip_address address;
            if (bytes.size() != address.bytes.size())
                return malformedError("address");
            std::copy(bytes.begin(), bytes.end(), address.bytes.begin());
            service.addresses.push_back(address);
        }
        if (message.port() > UINT16_MAX || message.protocol() > UINT8_MAX)
            return malformedError("port or protocol");
        service.port = static_cast<uint16_t>(message.port());
        service.protocol = static_cast<ip_protocol>(message.protocol());
        for (auto const& setting : message.overrides()) {
            auto const value = valueOf(setting);
            if (!value.ok())
                return value.status();
            service.overrides.push_back({ setting.key(), *value });
        }
        return service;
    }

} // namespace

std::string encodeConfiguration(configuration const& value)
{
    messages::Configuration message;
    toMessage(value.parts(), message);
    return message.SerializeAsString();
}

absl::StatusOr<configuration> decodeConfiguration(std::string_view bytes)
{
    messages::Configuration message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_kind::InvalidArgument, "the data cannot be parsed as a Configuration message");
    auto parts = fromMessage(message);
    if (!parts.ok())
        return parts.status();
    return configuration::create(*std::move(parts));
}

void toMessage(configuration_parts const& parts, messages::Configuration& message)
{
    for (auto const& key : allSettingKeys()) {
        if (isAllowedInDefaults(key.scope))
            toMessage(key.name, settingOf(parts.defaults, key), *message.add_defaults());
    }
    for (auto const& zone : parts.zones) {
        auto& added = *message.add_zones();
        added.set_name(zone.name);
        added.set_id(zone.id.value);
    }
    for (auto const& service : parts.services) {
        auto& added = *message.add_services();
        added.set_name(service.name);
        added.set_id(service.id.value);
        for (auto const& address : service.addresses)
            added.add_addresses(address.bytes.data(), address.bytes.size());
        added.set_port(service.port);
        added.set_protocol(static_cast<uint32_t>(service.protocol));
        for (auto const& entry : service.overrides)
            toMessage(entry.key, entry.value, *added.add_overrides());
    }
    for (auto const& exception : parts.exceptions)
        toMessage(exception, *message.add_exceptions());
}

absl::StatusOr<configuration_parts> fromMessage(messages::Configuration const& message)
{
    configuration_parts parts;
    if (auto status = readDefaults(message, parts.defaults); !status.ok())
        return status;
    for (auto const& zone : message.zones())
        parts.zones.push_back({ zone.name(), zone_id { zone.id() } });
    for (auto const& encoded : message.services()) {
        auto service = serviceFrom(encoded);
        if (!service.ok())
            return service.status();
        parts.services.push_back(*std::move(service));
    }
    for (auto const& encoded : message.exceptions()) {
        auto exception = fromMessage(encoded);
        if (!exception.ok())
            return exception.status();
        parts.exceptions.push_back(*std::move(exception));
    }
    return parts;
}

void toMessage(configuration_exception const& exception, messages::ConfigurationException& message)
{
    message.set_target(exception.target.toText());
    toMessage(exception.key, exception.value, *message.mutable_setting());
    message.set_reason(exception.reason);
    message.set_author(exception.author);
}

absl::StatusOr<configuration_exception> fromMessage(messages::ConfigurationException const& message)
{
    auto const target = exception_target::parse(message.target());
    if (!target.ok())
        return target.status();
    auto const value = valueOf(message.setting());
    if (!value.ok())
        return value.status();
    return configuration_exception { *target, message.setting().key(), *value, message.reason(), message.author() };
}

} // namespace bilberryyard
