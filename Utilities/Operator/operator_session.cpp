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

    // A new leader is elected within 3 s, so one silent host must not use up the whole time.
    constexpr duration longestAttempt = std::chrono::seconds(4);
    constexpr duration pauseBetweenRounds = std::chrono::milliseconds(200);

    absl::Status errorOf(http_response const& response, document const& body)
    {
        auto const* name = body.find("error");
        auto const* message = body.find("message");
        auto const kind = name ? errorKindByName(name->scalar()) : std::nullopt;
        if (!kind)
            return makeError(
                error_kind::Internal, "unexpected answer with HTTP status " + std::to_string(response.status));
        return makeError(*kind, message ? message->scalar() : std::string());
    }

    session_answer answerFrom(http_response const& response)
    {
        static constexpr int okStatus = 200;
        session_answer answer { absl::OkStatus(), {}, response.body, false };
        auto const tree = parseDocument(response.body, "response");
        // The body of /metrics is no document.
        if (tree.ok())
            answer.body = *tree;
        if (response.status != okStatus)
            answer.status = errorOf(response, answer.body);
        return answer;
    }

    // Another host may decide a request that this one could not.
    bool isForAnotherHost(absl::Status const& status)
    {
        if (status.ok())
            return false;
        auto const kind = errorKindOf(status);
        return kind == error_kind::NotLeader || kind == error_kind::Unavailable || kind == error_kind::DeadlineExceeded;
    }

    session_answer attempt(endpoint const& host, http_request const& request, duration timeout)
    {
        auto const exchange = exchangeHttp(host, request, timeout);
        if (exchange.response.ok()) {
            auto answer = answerFrom(*exchange.response);
            // A host that could not wait for the result does not know it; one that is not the leader proposed nothing.
            answer.isUndecided = isForAnotherHost(answer.status) && errorKindOf(answer.status) != error_kind::NotLeader;
            return answer;
        }
        return { exchange.response.status(), {}, {}, exchange.sent == delivery::Unknown };
    }

} // namespace

operator_session::operator_session(std::vector<endpoint> endpoints, duration timeout)
    : m_endpoints(std::move(endpoints))
    , m_timeout(timeout)
{
}

session_answer operator_session::send(http_request request) const
{
    request.headers["Accept"] = "application/json";
    if (!request.body.empty())
        request.headers["Content-Type"] = "application/json";
    auto const deadline = clock::now() + m_timeout;
    session_answer last { makeError(error_kind::DeadlineExceeded, "no time for an attempt"), {}, {}, false };
    bool isUndecided = false;
    for (size_t index = 0; clock::now() < deadline; ++index) {
        if (index > 0 && index % m_endpoints.size() == 0)
            std::this_thread::sleep_for(std::min<duration>(pauseBetweenRounds, deadline - clock::now()));
        duration const remaining = deadline - clock::now();
        if (index > 0 && remaining <= duration::zero())
            break;
        last = attempt(m_endpoints[index % m_endpoints.size()], request, std::min(longestAttempt, remaining));
        isUndecided = isUndecided || last.isUndecided;
        if (!isForAnotherHost(last.status)) {
            last.isUndecided = false;
            return last;
        }
    }
    last.isUndecided = isUndecided;
    return last;
}

} // namespace bilberryyard
