#include "operator_session.h"

#include <Base/error_kind.h>
#include <Configuration/document_parser.h>
#include <OperatorInterface/http_client.h>
#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace bilberryyard {

namespace {

    using clock = std::chrono::steady_clock;

    // A new leader is elected within 3 s, so an unresponsive host must not use up the whole timeout.
    constexpr duration maximumAttemptTimeout = std::chrono::seconds(4);
    constexpr duration retryRoundDelay = std::chrono::milliseconds(200);

    absl::Status errorOf(http_response const& response, document const& body)
    {
        auto const* name = body.find("error");
        auto const* message = body.find("message");
        auto const kind = name ? errorKindByName(name->scalar()) : std::nullopt;
        if (!kind)
            return makeError(error_kind::Internal,
                "HTTP response has no known error kind; HTTP status " + std::to_string(response.status));
        return makeError(*kind, message ? message->scalar() : std::string());
    }

    session_result resultFrom(http_response const& response)
    {
        static constexpr int okStatus = 200;
        session_result result { absl::OkStatus(), {}, response.body, false };
        auto const tree = parseDocument(response.body, "response");
        // The body of /metrics is plain text, not JSON or YAML.
        if (tree.ok())
            result.body = *tree;
        if (response.status != okStatus)
            result.status = errorOf(response, result.body);
        return result;
    }

    // Returns whether another host may be able to decide the request.
    bool shouldTryNextHost(absl::Status const& status)
    {
        if (status.ok())
            return false;
        auto const kind = errorKindOf(status);
        return kind == error_kind::NotLeader || kind == error_kind::Unavailable || kind == error_kind::DeadlineExceeded;
    }

    session_result attemptRequest(endpoint const& host, http_request const& request, duration timeout)
    {
        auto const exchange = exchangeHttp(host, request, timeout);
        if (exchange.response.ok()) {
            auto result = resultFrom(*exchange.response);
            // On Unavailable and DeadlineExceeded the host may have proposed the change. A host that is not the leader
            // has proposed nothing.
            result.isOutcomeUnknown
                = shouldTryNextHost(result.status) && errorKindOf(result.status) != error_kind::NotLeader;
            return result;
        }
        return { exchange.response.status(), {}, {}, exchange.sent == delivery::Unknown };
    }

} // namespace

operator_session::operator_session(std::vector<endpoint> endpoints, duration timeout)
    : m_endpoints(std::move(endpoints))
    , m_timeout(timeout)
{
}

session_result operator_session::send(http_request request) const
{
    request.headers["Accept"] = "application/json";
    if (!request.body.empty())
        request.headers["Content-Type"] = "application/json";
    auto const deadline = clock::now() + m_timeout;
    session_result last { makeError(error_kind::DeadlineExceeded, "the timeout ended before the first attempt"), {}, {},
        false };
    bool isOutcomeUnknown = false;
    for (size_t index = 0; clock::now() < deadline; ++index) {
        if (index > 0 && index % m_endpoints.size() == 0)
            std::this_thread::sleep_for(std::min<duration>(retryRoundDelay, deadline - clock::now()));
        duration const remaining = deadline - clock::now();
        if (index > 0 && remaining <= duration::zero())
            break;
        last = attemptRequest(
            m_endpoints[index % m_endpoints.size()], request, std::min(maximumAttemptTimeout, remaining));
        isOutcomeUnknown = isOutcomeUnknown || last.isOutcomeUnknown;
        if (!shouldTryNextHost(last.status)) {
            last.isOutcomeUnknown = false;
            return last;
        }
    }
    last.isOutcomeUnknown = isOutcomeUnknown;
    return last;
}

} // namespace bilberryyard
