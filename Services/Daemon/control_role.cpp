#include "control_role.h"

#include <Configuration/configuration_reader.h>
#include <Configuration/configuration_writer.h>

namespace bilberryyard {

absl::StatusOr<std::unique_ptr<control_role>> control_role::create(
    daemon_settings const& settings, std::string const& initialConfiguration, metrics_registry&)
{
    // FIXME: The configuration is read from a file at the start; the replicated log takes its place.
    auto const value = readConfigurationFile(initialConfiguration);
    if (!value.ok())
        return value.status();
    auto const& distribution = settings.control->distribution;
    auto publisher = configuration_publisher::create(
        { distribution.address, distribution.port }, static_cast<uint32_t>(settings.hashSeed()));
    if (!publisher.ok())
        return publisher.status();
    publisher->publish(1, writeConfiguration(*value));
    return std::unique_ptr<control_role>(new control_role(*std::move(publisher)));
}

control_role::control_role(configuration_publisher publisher)
    : m_publisher(std::move(publisher))
{
    m_thread = std::make_unique<duty_thread>("distribution", [this](std::stop_token const& token) { run(token); });
}

void control_role::run(std::stop_token const& stopToken)
{
    while (!stopToken.stop_requested())
        m_publisher.step(std::chrono::milliseconds(50));
}

void control_role::registerAt(http_router&) { }

} // namespace bilberryyard
