#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/endpoint.h>
#include <OperatorInterface/http_response.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// Whether a request without a response may have been executed.
enum class delivery {
    /// No connection was established, so the request was not executed.
    NotSent,
    /// The request may have been executed.
    Unknown,
};

/// The outcome of one request.
struct http_exchange {
    absl::StatusOr<http_response> response;
    /// Only meaningful when the response is an error.
    delivery sent = delivery::NotSent;
};

/// Sends one request to one address and waits for the response.
/// @param request Its query parameters are percent-encoded; its header fields are sent unchanged.
/// @param timeout For the whole exchange.
/// @return The response; Unavailable when the server was not reached or closed the connection,
///     DeadlineExceeded when the response was not complete within the timeout or is larger than 64 MiB.
http_exchange exchangeHttp(endpoint const& server, http_request const& request, duration timeout);

} // namespace bilberryyard
