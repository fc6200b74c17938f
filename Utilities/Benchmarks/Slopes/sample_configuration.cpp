#include "sample_configuration.h"

namespace bilberryyard {

namespace {

    constexpr uint32_t zoneCount = 16;

    configuration_command commandOf(uint32_t number, uint64_t base, configuration_command::change_type change)
    {
        return { "request-" + std::to_string(number), base, "operator",
            "replacement of host h" + std::to_string(number) + ", ticket 4711",
            wall_time(std::chrono::seconds(1'700'000'000 + number)), std::move(change) };
    }

} // namespace

absl::StatusOr<configuration> makeSampleConfiguration(uint32_t services)
{
    configuration_parts parts;
    for (uint32_t number = 1; number <= zoneCount; ++number)
        parts.zones.push_back({ "zone" + std::to_string(number), {} });
    for (uint32_t number = 1; number <= services; ++number) {
        service_definition service;
        service.name = "service" + std::to_string(number);
        service.addresses = { ip_address::fromIpv4(0x0A120000U + number) };
        service.port = 80;
        parts.services.push_back(std::move(service));
    }
    return configuration::create(std::move(parts));
}

configuration_command replaceCommand(uint32_t number, uint64_t base, configuration const& value)
{
    return commandOf(number, base, makeReplaceChange(value));
}

configuration_command exceptionCommand(uint32_t number, uint64_t base)
{
    exception_target target { exception_target_kind::Server, {}, {} };
    target.server = { ip_address::fromIpv4(0x0A400000U + number), 6'080 };
    return commandOf(number, base,
        makeAddExceptionChange({ target, "weight", 0.5, "slow disk of h" + std::to_string(number), "operator" }));
}

} // namespace bilberryyard
