#include <Configuration/configuration_review.h>

#include <array>
#include <optional>
#include <set>

namespace bilberryyard {

namespace {

    std::string indexed(char const* list, size_t index)
    {
        return std::string(list) + '[' + std::to_string(index) + ']';
    }

    // A rule that relates limits to each other. Settings that violate it are accepted, since each is valid by itself.
    struct limit_rule {
        bool (*isViolated)(effective_settings const&);
        char const* message;
    };

    constexpr std::array<limit_rule, 4> limitRules { {
        { [](effective_settings const& settings) {
             return settings.slots > settings.connectionLimit * settings.connectionLimitWatermark;
         },
            "slots exceeds connection_limit times connection_limit_watermark: a server is full before its slots are "
            "busy" },
        { [](effective_settings const& settings) {
             return settings.ejectionMaximumShare > 0 && settings.ejectionBackoffMinimum < settings.ejectionWindow;
         },
            "ejection_backoff_minimum is less than ejection_window: a server that returns is ejected again by the "
            "handshakes that it was ejected for" },
        { [](effective_settings const& settings) { return settings.datagramIdleTimeout > settings.flowIdleTimeout; },
            "datagram_idle_timeout exceeds flow_idle_timeout: state of datagram flows outlives that of connections" },
        { [](effective_settings const& settings) { return settings.lease <= settings.peerLossTimeout; },
            "lease does not exceed peer_loss_timeout: the servers of a lost host expire before it is given up" },
    } };

    void addLimitWarnings(
        std::vector<configuration_warning>& warnings, std::string const& path, effective_settings const& settings)
    {
        for (auto const& rule : limitRules) {
            if (rule.isViolated(settings))
                warnings.push_back({ path, rule.message });
        }
    }

    // Settings as they would be without a service's own values; only its violations are the service's.
    bool addsViolation(effective_settings const& before, effective_settings const& after)
    {
        for (auto const& rule : limitRules) {
            if (rule.isViolated(after) && !rule.isViolated(before))
                return true;
        }
        return false;
    }

    configuration_exception const* findServiceException(
        configuration const& value, service_definition const& service, std::string_view key)
    {
        return value.findException({ exception_target_kind::Service, service.name, {} }, key);
    }

    void reviewService(std::vector<configuration_warning>& warnings, configuration const& value, size_t index)
    {
        auto const& service = value.services()[index];
        auto const path = indexed("services", index);
        if (service.addresses.empty())
            warnings.push_back({ path + ".addresses", "the service has no addresses, so no flow matches it" });
        for (auto const& entry : service.overrides) {
            auto const entryPath = path + '.' + entry.key;
            if (findServiceException(value, service, entry.key))
                warnings.push_back({ entryPath, "never takes effect: an exception on the service replaces it" });
            else if (settingOf(value.defaults(), *findSettingKey(entry.key)) == entry.value)
                warnings.push_back({ entryPath, "has no effect: the default is the same" });
        }
        auto const settings = value.settingsOf(service);
        if (addsViolation(value.defaults(), settings))
            addLimitWarnings(warnings, path, settings);
    }

    // The value that the exception replaces; nullopt if it depends on the service that the server registers for.
    std::optional<setting_value> replacedValue(configuration const& value, configuration_exception const& exception)
    {
        auto const without = value.withoutException(exception.target, exception.key);
        if (!without.ok())
            return std::nullopt;
        auto const& key = *findSettingKey(exception.key);
        std::optional<setting_value> result;
        for (auto const& service : without->services()) {
            bool const isServer = exception.target.kind == exception_target_kind::Server;
            if (!isServer && service.name != exception.target.service)
                continue;
            auto const settings
                = isServer ? without->settingsOf(service, exception.target.server) : without->settingsOf(service);
            auto const replaced = settingOf(settings, key);
            if (result && *result != replaced)
                return std::nullopt;
            result = replaced;
        }
        return result;
    }

    void reviewServerLimits(std::vector<configuration_warning>& warnings, configuration const& value)
    {
        std::set<endpoint> reviewed;
        for (size_t index = 0; index < value.exceptions().size(); ++index) {
            auto const& target = value.exceptions()[index].target;
            if (target.kind != exception_target_kind::Server || !reviewed.insert(target.server).second)
                continue;
            for (auto const& service : value.services()) {
                auto const settings = value.settingsOf(service, target.server);
                if (!addsViolation(value.settingsOf(service), settings))
                    continue;
                addLimitWarnings(warnings, indexed("exceptions", index), settings);
                break;
            }
        }
    }

} // namespace

std::vector<configuration_warning> reviewConfiguration(configuration const& value)
{
    std::vector<configuration_warning> warnings;
    addLimitWarnings(warnings, "defaults", value.defaults());
    if (value.services().empty())
        warnings.push_back({ "services", "there is no service, so no flow is accepted" });
    for (size_t index = 0; index < value.services().size(); ++index)
        reviewService(warnings, value, index);
    for (size_t index = 0; index < value.exceptions().size(); ++index) {
        auto const& exception = value.exceptions()[index];
        if (replacedValue(value, exception) == exception.value)
            warnings.push_back({ indexed("exceptions", index), "has no effect: the value is the same without it" });
    }
    reviewServerLimits(warnings, value);
    return warnings;
}

} // namespace bilberryyard
