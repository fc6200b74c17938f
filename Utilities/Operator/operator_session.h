#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/document.h>
#include <Configuration/endpoint.h>
#include <OperatorInterface/http_request.h>
#include <absl/status/status.h>
#include <vector>

namespace bilberryyard {

/// The result of a request, after all attempts.
struct session_result {
    /// Ok, or the error of a host or of the connection.
    absl::Status status;
    /// The parsed body of the response; empty if there was none or it is not a document.
    document body;
    /// The body as received.
    std::string text;
    /// Whether the request may have been executed although no host confirmed it.
    bool isOutcomeUnknown = false;
};

/// Sends a request to one host after another until one decides it. Each attempt sends the same request id, so that
/// a change is not executed twice.
class operator_session {
public:
    /// @param endpoints The hosts, in order of preference; not empty.
    /// @param timeout Timeout of all attempts of one request together.
    operator_session(std::vector<endpoint> endpoints, duration timeout);

    /// @return The response of the first host that decided the request, otherwise the last error.
    session_result send(http_request request) const;

private:
    std::vector<endpoint> m_endpoints;
    duration m_timeout;
};

} // namespace bilberryyard
