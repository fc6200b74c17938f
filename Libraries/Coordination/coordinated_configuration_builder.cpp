#include <Coordination/coordinated_configuration_builder.h>

#include <chrono>

namespace bilberryyard {

namespace {

    std::chrono::milliseconds inMilliseconds(duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value);
    }

    routed_service serviceOf(configuration const& value, service_definition const& definition)
    {
        auto const settings = value.settingsOf(definition);
        routed_service service;
        service.id = definition.id;
        service.name = definition.name;
        service.addresses = definition.addresses;
        service.port = definition.port;
        service.protocol = definition.protocol;
        service.bucketCount = settings.bucketCount;
        service.weight = settings.weight;
        service.connectionLimit = settings.connectionLimit;
        return service;
    }

    /// The settings of a server; the weight is relative to that of its service.
    server_override overrideOf(configuration const& value, service_definition const& service, ip_endpoint const& server)
    {
        auto const base = value.settingsOf(service);
        auto const settings = value.settingsOf(service, { server.address, server.port });
        return { settings.drain, base.weight > 0 ? settings.weight / base.weight : 1.0, settings.connectionLimit };
    }

} // namespace

coordinated_configuration coordinatedConfigurationOf(uint64_t revision, configuration const& value)
{
    auto const& defaults = value.defaults();
    coordinated_configuration result;
    result.revision = revision;
    for (auto const& service : value.services())
        result.services.push_back(serviceOf(value, service));
    for (auto const& zone : value.zones())
        result.zones[zone.name] = zone.id;
    for (auto const& exception : value.exceptions()) {
        if (exception.target.kind != exception_target_kind::Server || value.services().empty())
            continue;
        ip_endpoint const server { exception.target.server.address, exception.target.server.port };
        result.serverOverrides[server] = overrideOf(value, value.services().front(), server);
    }
    result.flowIdleTimeout = inMilliseconds(defaults.flowIdleTimeout);
    result.datagramIdleTimeout = inMilliseconds(defaults.datagramIdleTimeout);
    result.planner.witnessCount = static_cast<uint8_t>(defaults.witnessCount);
    result.planner.bytesPerSecond = defaults.controlBytesPerSecond * 2 / 5;
    result.planner.coldStart = std::chrono::seconds(defaults.coldStartSeconds);
    result.health.window = defaults.ejectionWindow;
    result.health.minimumHandshakes = defaults.ejectionMinimumHandshakes;
    result.health.failureRatio = defaults.ejectionFailureRatio;
    result.health.ejectionCap = defaults.ejectionMaximumShare;
    result.health.initialBackOff = defaults.ejectionBackoffMinimum;
    result.health.maximumBackOff = defaults.ejectionBackoffMaximum;
    result.health.weightCap = defaults.reportWeightCap;
    return result;
}

} // namespace bilberryyard
