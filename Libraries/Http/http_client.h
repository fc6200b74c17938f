#pragma once

#include <Packet/ip_endpoint.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <compare>
#include <string>

namespace bilberryyard {

/// A response as a client sees it.
struct http_response {
    int status = 0;
    std::string body;
    auto operator<=>(http_response const&) const = default;
};

/// Sends single HTTP/1.1 requests over CivetWeb's client. Each request uses its own connection.
class http_client {
public:
    /// @param timeout Longest time to wait for the whole response.
    explicit http_client(std::chrono::milliseconds timeout);

    /// @param endpoint Where to connect.
    /// @param method "GET" or "POST".
    /// @param path Path with query.
    /// @param body Request body.
    /// @param contentType Type of the body.
    /// @return The response whatever its status; Unavailable when no connection can be made, DeadlineExceeded when
    /// no whole response arrives: then the request may or may not have been executed.
    absl::StatusOr<http_response> request(ip_endpoint const& endpoint, std::string const& method,
        std::string const& path, std::string const& body = {},
        std::string const& contentType = "application/json") const;

private:
    std::chrono::milliseconds m_timeout;
};

} // namespace bilberryyard
