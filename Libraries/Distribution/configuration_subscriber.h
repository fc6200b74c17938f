#pragma once

#include <Base/monotonic_time.h>
#include <Distribution/distribution_message.h>
#include <Packet/ip_endpoint.h>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Requests newer configurations from one control host at a time. Switches to the next one when a response is late or
/// stale. Not thread-safe.
class configuration_subscriber {
public:
    /// @param controlHosts Distribution endpoints of the control hosts, at least one.
    /// @param request Template of the requests; haveRevision, sequence and state are set for each request.
    configuration_subscriber(std::vector<ip_endpoint> controlHosts, configuration_request request);
    configuration_subscriber(configuration_subscriber const&) = delete;
    configuration_subscriber& operator=(configuration_subscriber const&) = delete;
    ~configuration_subscriber();

    /// Sends a request when none is pending, and waits for the response.
    /// @param revision The revision in force on this host.
    /// @param tableState Synchronisation state of the tables, which the control host shows in its status.
    /// @param timeout Maximum time to wait.
    /// @return A newer configuration when one was received.
    std::optional<configuration_response> step(
        uint64_t revision, uint32_t tableState, std::chrono::milliseconds timeout);

    /// @return When the last response was received; not set before the first response.
    std::optional<monotonic_time> lastResponseAt() const;

private:
    struct state;
    void connect();
    void switchToNextHost();
    void sendRequest(uint64_t revision, uint32_t tableState);

    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
