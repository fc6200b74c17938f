#include "balancer_http.h"

#include "announcement_reader.h"
#include "flow_text.h"
#include <Base/error_kind.h>
#include <OperatorInterface/http_response.h>
#include <future>

namespace bilberryyard {

namespace {

    // Threads answer within a few milliseconds; a longer wait means that the process is overloaded.
    constexpr std::chrono::milliseconds taskTimeout { 500 };

    absl::Status overloaded()
    {
        return makeError(error_kind::ResourceExhausted, "the balancer is overloaded; try again");
    }

    std::string_view nameOf(synchronisation state)
    {
        switch (state) {
        case synchronisation::Synchronised:
            return "synchronised";
        case synchronisation::Unsynchronised:
            return "unsynchronised";
        case synchronisation::Isolated:
            return "isolated";
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

    document unsignedMember(uint64_t value) { return document::unsignedInteger(value); }

    /// Runs a function on another thread and waits for its result.
    template <typename Result, typename Mailbox, typename Function>
    absl::StatusOr<Result> runOn(Mailbox& mailbox, Function function)
    {
        auto promise = std::make_shared<std::promise<absl::StatusOr<Result>>>();
        auto future = promise->get_future();
        if (!mailbox.push([promise, function](auto&&... arguments) { promise->set_value(function(arguments...)); }))
            return overloaded();
        if (future.wait_for(taskTimeout) != std::future_status::ready)
            return overloaded();
        return future.get();
    }

} // namespace

balancer_http::balancer_http(coordination_duty& coordination, packet_duty& packets)
    : m_coordination(coordination)
    , m_packets(packets)
{
}

void balancer_http::registerAt(http_router& router)
{
    router.add("/readyz", [this](http_request const& request) { return ready(request); });
    router.add("/v1/servers", [this](http_request const& request) { return servers(request); });
    router.add("/v1/host", [this](http_request const& request) { return status(request); });
    router.add("/v1/explain", [this](http_request const& request) { return explain(request); });
}

http_response balancer_http::ready(http_request const& request) const
{
    auto const current = m_coordination.status();
    if (current->isLeaving)
        return makeErrorResponse(request, makeError(error_kind::Unavailable, "this balancer is stopping"));
    if (!current->isConfigured)
        return makeErrorResponse(request, makeError(error_kind::Unavailable, "no configuration yet"));
    if (current->state == synchronisation::Unsynchronised)
        return makeErrorResponse(request, makeError(error_kind::Unavailable, "the tables are not synchronised"));
    return makeDocumentResponse(request, 200, document::map({ { "ready", document::boolean(true) } }));
}

http_response balancer_http::servers(http_request const& request)
{
    if (request.method == "POST")
        return announce(request);
    if (request.method == "GET")
        return listServers(request);
    return makeMethodResponse(request, "GET, POST");
}

http_response balancer_http::announce(http_request const& request)
{
    auto const current = m_coordination.status();
    if (!current->isConfigured)
        return makeErrorResponse(request, makeError(error_kind::Unavailable, "no configuration yet"));
    auto const announcement = readAnnouncement(request.body, *current->configuration, current->configuration->zones);
    if (!announcement.ok())
        return makeErrorResponse(request, announcement.status());
    auto const id = runOn<server_id>(m_coordination.tasks(),
        [value = *announcement](balancer_coordinator* coordinator, monotonic_time now) -> absl::StatusOr<server_id> {
            if (!coordinator)
                return makeError(error_kind::Unavailable, "no configuration yet");
            return coordinator->announce(value, now);
        });
    if (!id.ok())
        return makeErrorResponse(request, id.status());
    return makeDocumentResponse(request, 200, document::map({ { "server", unsignedMember(id->value) } }));
}

http_response balancer_http::listServers(http_request const& request) const
{
    auto const current = m_coordination.status();
    std::vector<document> rows;
    for (auto const& row : current->servers) {
        auto const& announcement = row.entry.announcement;
        rows.push_back(document::map({
            { "server", unsignedMember(row.entry.id.value) },
            { "service", unsignedMember(announcement.key.service.value) },
            { "endpoint", document::text(ip_endpoint { announcement.key.address, announcement.key.port }.toText()) },
            { "zone", unsignedMember(announcement.zone.value) },
            { "condition", document::text(nameOf(row.condition)) },
            { "open_connections", unsignedMember(announcement.load.openConnections) },
            { "busy_slots", unsignedMember(announcement.load.busySlots) },
            { "queue", unsignedMember(announcement.load.queue) },
        }));
    }
    return makeDocumentResponse(request, 200, document::map({ { "servers", document::list(std::move(rows)) } }));
}

http_response balancer_http::status(http_request const& request) const
{
    if (request.method != "GET")
        return makeMethodResponse(request, "GET");
    auto const current = m_coordination.status();
    std::vector<document> hosts;
    for (auto const& row : current->hosts) {
        hosts.push_back(document::map({
            { "host", unsignedMember(row.host.host.value) },
            { "incarnation", unsignedMember(row.host.incarnation) },
            { "state", document::text(nameOf(row.state)) },
            { "leaving", document::boolean(row.intent == host_intent::Leaving) },
            { "configuration_revision", unsignedMember(row.configurationRevision) },
            { "age_ms",
                unsignedMember(
                    static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(row.age).count())) },
        }));
    }
    std::vector<document> tables;
    for (auto const& [service, table] : current->tables) {
        uint64_t tracked = 0;
        for (uint32_t index = 0; index < table->bucketCount(); ++index)
            tracked += table->at(index).phase == bucket_phase::Tracked ? 1 : 0;
        tables.push_back(document::map({ { "service", unsignedMember(service.value) },
            { "version", unsignedMember(table->version()) }, { "buckets", unsignedMember(table->bucketCount()) },
            { "tracked", unsignedMember(tracked) }, { "digest", unsignedMember(table->digest()) } }));
    }
    std::vector<document_member> members { { "state", document::text(nameOf(current->state)) } };
    if (current->planner)
        members.push_back({ "planner", unsignedMember(current->planner->host.value) });
    members.push_back({ "hosts", document::list(std::move(hosts)) });
    members.push_back({ "tables", document::list(std::move(tables)) });
    return makeDocumentResponse(request, 200, document::map(std::move(members)));
}

http_response balancer_http::explain(http_request const& request)
{
    if (request.method != "GET")
        return makeMethodResponse(request, "GET");
    auto const parameter = request.query.find("flow");
    if (parameter == request.query.end())
        return makeErrorResponse(request, makeError(error_kind::InvalidArgument, "the parameter 'flow' is missing"));
    auto const key = parseFlow(parameter->second);
    if (!key.ok())
        return makeErrorResponse(request, key.status());
    auto const explanation = runOn<flow_explanation>(m_packets.tasks(),
        [flow = *key](flow_router& router) -> absl::StatusOr<flow_explanation> { return router.explain(flow); });
    if (!explanation.ok())
        return makeErrorResponse(request, explanation.status());
    return makeDocumentResponse(request, 200, describe(*key, *explanation, *m_coordination.status()));
}

} // namespace bilberryyard
