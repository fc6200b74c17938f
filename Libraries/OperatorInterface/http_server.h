#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/endpoint.h>
#include <OperatorInterface/http_router.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <vector>

namespace bilberryyard {

struct http_limits {
    /// Requests with a larger body get status 413. A configuration of 10,000 services has about 3 MB.
    size_t maximumBodySize = size_t { 8 } * 1024 * 1024;
    /// Timeout for receiving a whole request, and for each write of the response.
    duration requestTimeout = std::chrono::seconds(10);
    /// Requests that are handled concurrently. Must exceed operator_api::maximumWaitingProposals, so that health checks
    /// still get a response while no majority is available.
    int threads = 32;
    auto operator<=>(http_limits const&) const = default;
};

/// An HTTP/1.1 server based on CivetWeb. The destructor stops it and waits for requests in progress. This takes up to
/// 2 seconds, the interval at which CivetWeb polls its stop flag.
class http_server {
public:
    /// Opens the port and starts the server threads.
    /// @param address Address to listen on; port 0 lets the kernel choose a port.
    /// @return The server; Unavailable when the port cannot be opened, FailedPrecondition for an IPv6 address when
    ///     CivetWeb was built without IPv6, as in Debian 12.
    static absl::StatusOr<std::unique_ptr<http_server>> create(
        endpoint const& address, http_router router, http_limits const& limits = {});

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    ~http_server();

    /// Waits until no request is being handled.
    /// @return Whether the last response has been written within the timeout.
    bool waitUntilIdle(duration timeout) const;

    /// @return The listening address with the actual port.
    endpoint address() const { return m_address; }

private:
    struct implementation;
    http_server(endpoint const& address, std::unique_ptr<implementation> state);

    endpoint m_address;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace bilberryyard
