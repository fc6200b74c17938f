#pragma once

#include <Configuration/document.h>
#include <OperatorInterface/flow_text.h>
#include <OperatorInterface/http_router.h>
#include <OperatorInterface/operator_requests.h>
#include <OperatorInterface/server_registration.h>
#include <absl/status/statusor.h>
#include <concepts>
#include <string>
#include <vector>

namespace bilberryyard {

/// One row of GET /v1/servers.
struct server_row {
    server_registration registration;
    /// Condition of the server as this host evaluates it, for example "accepting", "closed" or "dead".
    std::string condition;
    auto operator<=>(server_row const&) const = default;
};

/// The operations of the data plane that the HTTP interface of an entry host uses. Called from several threads.
///
/// - explain: how this host would forward the next packet of a flow, as names and values in display order.
/// - registerServer: accepts a registration; InvalidArgument for an unknown service or zone.
/// - servers: all servers that this host knows.
template <typename Backend>
concept balancer_backend = requires(Backend& backend, flow_key const& flow, server_registration const& registration)
{
    {
        backend.explain(flow)
        } -> std::same_as<absl::StatusOr<std::vector<document_member>>>;
    {
        backend.registerServer(registration)
        } -> std::same_as<absl::Status>;
    {
        backend.servers()
        } -> std::same_as<std::vector<server_row>>;
};

/// The handlers of /v1/explain and /v1/servers (docs/http-interface.md).
template <balancer_backend Backend>
class balancer_api {
public:
    /// @param backend Must outlive this object.
    explicit balancer_api(Backend& backend)
        : m_backend(backend)
    {
    }

    /// @param router Keeps references to this object, which must outlive it.
    void registerAt(http_router& router)
    {
        router.add("/v1/explain", [this](auto const& request) { return explain(request); });
        router.add("/v1/servers", [this](auto const& request) { return servers(request); });
    }

private:
    http_response explain(http_request const& request)
    {
        if (request.method != "GET")
            return makeMethodResponse(request, "GET");
        if (auto const parameters = expectParameters(request, { "flow" }); !parameters.ok())
            return makeErrorResponse(request, parameters);
        auto const text = request.query.find("flow");
        auto const flow = parseFlow(text == request.query.end() ? std::string() : text->second);
        if (!flow.ok())
            return makeErrorResponse(request, flow.status());
        auto members = m_backend.explain(*flow);
        if (!members.ok())
            return makeErrorResponse(request, members.status());
        members->insert(members->begin(), { "flow", document::text(flow->toText()) });
        return makeDocumentResponse(request, 200, document::map(*std::move(members)));
    }

    http_response servers(http_request const& request)
    {
        if (request.method == "GET")
            return makeServersResponse(request, m_backend.servers());
        if (request.method != "POST")
            return makeMethodResponse(request, "GET, POST");
        auto const registration = readServerRegistration(request);
        if (!registration.ok())
            return makeErrorResponse(request, registration.status());
        if (auto const status = m_backend.registerServer(*registration); !status.ok())
            return makeErrorResponse(request, status);
        return makeDocumentResponse(request, 200, document::map({ { "registered", document::boolean(true) } }));
    }

    static http_response makeServersResponse(http_request const& request, std::vector<server_row> const& rows)
    {
        std::vector<document> items;
        items.reserve(rows.size());
        for (auto const& row : rows) {
            auto members = toDocument(row.registration).members();
            members.push_back({ "condition", document::text(row.condition) });
            items.push_back(document::map(std::move(members)));
        }
        return makeDocumentResponse(request, 200, document::map({ { "servers", document::list(std::move(items)) } }));
    }

    Backend& m_backend;
};

} // namespace bilberryyard
