#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/endpoint.h>
#include <OperatorInterface/http_response.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// What is known about a request without a response.
enum class delivery {
    /// The connection was refused; the request was not executed.
    NotSent,
    /// The request may have been executed.
    Unknown,
};

/// The end of one exchange: a response, or how far it came.
struct http_exchange {
    absl::StatusOr<http_response> response;
    /// Only meaningful without a response.
    delivery sent = delivery::NotSent;
};

/// Sends one request to one address and waits for the response.
/// @param server The server.
/// @param request The request; query parameters and header fields are sent as given.
/// @param timeout Longest wait for the response.
/// @return The response; Unavailable when the server was not reached or closed the connection,
///     DeadlineExceeded when it did not answer in time.
http_exchange exchangeHttp(endpoint const& server, http_request const& request, duration timeout);

} // namespace bilberryyard
