#pragma once

#include <Base/error_kind.h>
#include <OperatorInterface/configuration_backend.h>
#include <OperatorInterface/http_router.h>
#include <OperatorInterface/operator_requests.h>
#include <OperatorInterface/operator_responses.h>
#include <atomic>
#include <functional>
#include <string>
#include <utility>

namespace bilberryyard {

/// The handlers of /v1/configuration, /v1/changes, /v1/audit, /v1/status and /v1/members
/// (docs/http-interface.md).
template <configuration_backend Backend>
class operator_api {
public:
    /// @param backend Must outlive this object.
    /// @param now Returns the wall clock time for the audit trail; called from several threads.
    operator_api(Backend& backend, std::function<wall_time()> now)
        : m_backend(backend)
        , m_now(std::move(now))
    {
    }

    /// @param router Keeps references to this object, which must outlive it.
    void registerAt(http_router& router)
    {
        router.add("/v1/configuration", [this](auto const& request) { return configurationOf(request); });
        router.add("/v1/changes", [this](auto const& request) { return change(request); });
        router.add("/v1/audit", [this](auto const& request) { return audit(request); });
        router.add("/v1/status", [this](auto const& request) { return status(request); });
        router.add("/v1/members", [this](auto const& request) { return members(request); });
    }

private:
    // Half of the threads of http_server. Without a majority each proposal blocks its thread until the timeout, and the
    // other threads must stay available for reads and health checks.
    static constexpr int maximumWaitingProposals = 16;

    /// Counts a proposal as waiting during the lifetime of this object.
    class waiting_proposal {
    public:
        explicit waiting_proposal(std::atomic<int>& count)
            : m_count(count)
            , m_waitingCount(++count)
        {
        }
        waiting_proposal(waiting_proposal const&) = delete;
        waiting_proposal& operator=(waiting_proposal const&) = delete;
        ~waiting_proposal() { --m_count; }

        int waitingCount() const { return m_waitingCount; }

    private:
        std::atomic<int>& m_count;
        int m_waitingCount;
    };

    http_response configurationOf(http_request const& request)
    {
        if (request.method != "GET")
            return makeMethodResponse(request, "GET");
        auto const reading = m_backend.read();
        if (!reading.ok())
            return makeErrorResponse(request, reading.status());
        return makeConfigurationResponse(request, *reading);
    }

    http_response change(http_request const& request)
    {
        if (request.method != "POST")
            return makeMethodResponse(request, "POST");
        if (auto const parameters = expectParameters(request, { "dry_run" }); !parameters.ok())
            return makeErrorResponse(request, parameters);
        auto const dryRun = request.query.find("dry_run");
        if (dryRun != request.query.end() && dryRun->second != "true")
            return makeErrorResponse(
                request, makeError(error_kind::InvalidArgument, "query parameter dry_run: the only value is 'true'"));
        auto command = readChangeRequest(request);
        if (!command.ok())
            return makeErrorResponse(request, command.status());
        command->time = m_now();
        return dryRun != request.query.end() ? evaluateDryRun(request, *command) : propose(request, *command);
    }

    http_response evaluateDryRun(http_request const& request, configuration_command const& command)
    {
        auto const reading = m_backend.read();
        if (!reading.ok())
            return makeErrorResponse(request, reading.status());
        return makeDryRunResponse(request, command, *reading);
    }

    http_response propose(http_request const& request, configuration_command const& command)
    {
        waiting_proposal const waiting(m_waitingProposals);
        if (waiting.waitingCount() > maximumWaitingProposals)
            return makeErrorResponse(request,
                makeError(error_kind::Unavailable, "too many changes are waiting for the replicated log"),
                { { "request_id", document::text(command.requestId) } });
        auto const result = m_backend.propose(command);
        if (!result.ok())
            return makeErrorResponse(request, result.status(), { { "request_id", document::text(command.requestId) } });
        return makeChangeResponse(request, command.requestId, *result);
    }

    http_response audit(http_request const& request)
    {
        if (request.method != "GET")
            return makeMethodResponse(request, "GET");
        auto const query = readAuditRequest(request);
        if (!query.ok())
            return makeErrorResponse(request, query.status());
        auto const page = m_backend.audit(*query);
        if (!page.ok())
            return makeErrorResponse(request, page.status());
        return makeAuditResponse(request, *page);
    }

    http_response status(http_request const& request)
    {
        if (request.method != "GET")
            return makeMethodResponse(request, "GET");
        auto const hosts = m_backend.status();
        if (!hosts.ok())
            return makeErrorResponse(request, hosts.status());
        return makeStatusResponse(request, *hosts);
    }

    http_response members(http_request const& request)
    {
        if (request.method == "POST" || request.method == "DELETE") {
            auto const change = readMemberRequest(request);
            if (!change.ok())
                return makeErrorResponse(request, change.status());
            if (auto const changed = m_backend.changeMembers(*change); !changed.ok())
                return makeErrorResponse(request, changed, { { "request_id", document::text(change->requestId) } });
        } else if (request.method != "GET") {
            return makeMethodResponse(request, "GET, POST, DELETE");
        }
        auto const list = m_backend.members();
        if (!list.ok())
            return makeErrorResponse(request, list.status());
        return makeMembersResponse(request, *list);
    }

    Backend& m_backend;
    std::function<wall_time()> m_now;
    std::atomic<int> m_waitingProposals { 0 };
};

} // namespace bilberryyard
