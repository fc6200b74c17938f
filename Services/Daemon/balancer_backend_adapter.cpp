#include "balancer_backend_adapter.h"

#include <Base/error_kind.h>
#include <algorithm>
#include <future>

namespace bilberryyard {

namespace {

    // The worker threads run a task within a few milliseconds; a longer wait means that the process is overloaded.
    constexpr std::chrono::milliseconds taskTimeout { 500 };

    std::string_view nameOf(routing_rule rule)
    {
        switch (rule) {
        case routing_rule::NoService:
            return "no service has this address, port and protocol";
        case routing_rule::Unsynchronised:
            return "this host is not synchronised and relays to a peer";
        case routing_rule::StableBucket:
            return "the bucket is stable";
        case routing_rule::ExplicitEntry:
            return "an explicit entry names the server";
        case routing_rule::Base:
            return "the flow is older than the tracking of its bucket";
        case routing_rule::NewFlow:
            return "the flow is new to this host";
        case routing_rule::Relayed:
            return "a witness decides";
        case routing_rule::NoWitness:
            return "no witness of the bucket is alive";
        }
        return "unknown";
    }

    std::string_view nameOf(server_condition condition)
    {
        switch (condition) {
        case server_condition::Accepting:
            return "accepting";
        case server_condition::Closed:
            return "closed";
        case server_condition::Dead:
            return "dead";
        }
        return "unknown";
    }

    /// Runs a function on the thread that owns the mailbox and waits for its result.
    /// @return The result; ResourceExhausted when the mailbox is full or the result does not arrive within taskTimeout.
    template <typename Result, typename Mailbox, typename Function>
    absl::StatusOr<Result> runOn(Mailbox& mailbox, Function function)
    {
        auto const overloaded = makeError(error_kind::ResourceExhausted, "the balancer is overloaded; try again");
        auto promise = std::make_shared<std::promise<absl::StatusOr<Result>>>();
        auto future = promise->get_future();
        if (!mailbox.push([promise, function](auto&&... arguments) { promise->set_value(function(arguments...)); }))
            return overloaded;
        if (future.wait_for(taskTimeout) != std::future_status::ready)
            return overloaded;
        return future.get();
    }

    absl::StatusOr<server_announcement> announcementOf(
        server_registration const& registration, coordinated_configuration const& configuration)
    {
        auto const& services = configuration.services;
        auto const service = std::find_if(services.begin(), services.end(),
            [&](routed_service const& value) { return value.name == registration.service; });
        if (service == services.end())
            return makeError(
                error_kind::InvalidArgument, "service: no service is named '" + registration.service + "'");
        auto const zone = configuration.zones.find(registration.zone);
        if (zone == configuration.zones.end())
            return makeError(error_kind::InvalidArgument, "zone: no zone is named '" + registration.zone + "'");
        return server_announcement { { service->id, registration.server.address, registration.server.port },
            zone->second, static_cast<server_state>(registration.state), registration.slots,
            registration.connectionLimit, { registration.busySlots, registration.queue, registration.openConnections },
            registration.incarnation };
    }

    std::string serviceName(coordinated_configuration const& configuration, service_id id)
    {
        for (auto const& service : configuration.services) {
            if (service.id == id)
                return service.name;
        }
        return std::to_string(id.value);
    }

    std::string zoneName(coordinated_configuration const& configuration, zone_id id)
    {
        for (auto const& [name, zone] : configuration.zones) {
            if (zone == id)
                return name;
        }
        return std::to_string(id.value);
    }

} // namespace

absl::Status balancer_backend_adapter::registerServer(server_registration const& registration)
{
    auto const status = m_coordination.status();
    if (!status->isConfigured)
        return makeError(error_kind::Unavailable, "this host has not received a configuration yet");
    auto const announcement = announcementOf(registration, *status->configuration);
    if (!announcement.ok())
        return announcement.status();
    return runOn<server_id>(m_coordination.tasks(),
        [value = *announcement](balancer_coordinator* coordinator, monotonic_time now) -> absl::StatusOr<server_id> {
            if (!coordinator)
                return makeError(error_kind::Unavailable, "this host has not received a configuration yet");
            return coordinator->announce(value, now);
        })
        .status();
}

std::vector<server_row> balancer_backend_adapter::servers()
{
    auto const status = m_coordination.status();
    std::vector<server_row> rows;
    for (auto const& value : status->servers) {
        auto const& announcement = value.entry.announcement;
        rows.push_back({ { serviceName(*status->configuration, announcement.key.service),
                             { announcement.key.address, announcement.key.port },
                             zoneName(*status->configuration, announcement.zone),
                             static_cast<registered_state>(announcement.state), announcement.slots,
                             announcement.connectionLimit, announcement.load.busySlots, announcement.load.queue,
                             announcement.load.openConnections, announcement.incarnation },
            std::string(nameOf(value.condition)) });
    }
    return rows;
}

absl::StatusOr<std::vector<document_member>> balancer_backend_adapter::explain(flow_key const& flow)
{
    auto const explanation = runOn<flow_explanation>(m_packets.tasks(),
        [flow](flow_router& router) -> absl::StatusOr<flow_explanation> { return router.explain(flow); });
    if (!explanation.ok())
        return explanation.status();
    auto const status = m_coordination.status();
    std::vector<document_member> members { { "rule", document::text(nameOf(explanation->rule)) } };
    if (explanation->rule == routing_rule::NoService || !status->isConfigured)
        return members;
    members.push_back({ "service", document::text(serviceName(*status->configuration, explanation->service)) });
    members.push_back({ "bucket", document::unsignedInteger(explanation->bucket) });
    members.push_back({ "table_version", document::unsignedInteger(explanation->tableVersion) });
    members.push_back({ "configuration_revision", document::unsignedInteger(status->configuration->revision) });
    if (explanation->host)
        members.push_back({ "host", document::unsignedInteger(explanation->host->value) });
    for (auto const& value : status->servers) {
        if (value.entry.id != explanation->server)
            continue;
        auto const& key = value.entry.announcement.key;
        members.push_back({ "server", document::text(endpoint { key.address, key.port }.toText()) });
        members.push_back({ "server_condition", document::text(nameOf(value.condition)) });
    }
    return members;
}

} // namespace bilberryyard
