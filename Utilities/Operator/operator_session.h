#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/document.h>
#include <Configuration/endpoint.h>
#include <OperatorInterface/http_request.h>
#include <absl/status/status.h>
#include <vector>

namespace bilberryyard {

/// The end of one command at the hosts.
struct session_answer {
    /// Ok, or the error of a host or of the connection.
    absl::Status status;
    /// The body of the response, when there was one.
    document body;
    /// The body as received.
    std::string text;
    /// Whether the request may have been executed although no host said so.
    bool isUndecided = false;
};

/// Sends a request to one host after the other until one decides it. The request stays the same, so that
/// its request id protects it against being executed twice.
class operator_session {
public:
    /// @param endpoints The hosts, in order of preference; not empty.
    /// @param timeout Time for all attempts of one request.
    operator_session(std::vector<endpoint> endpoints, duration timeout);

    /// @param request The request.
    /// @return The answer of the first host that decided the request, otherwise the last error.
    session_answer send(http_request request) const;

private:
    std::vector<endpoint> m_endpoints;
    duration m_timeout;
};

} // namespace bilberryyard
