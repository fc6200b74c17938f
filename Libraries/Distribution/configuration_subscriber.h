#pragma once

#include <Base/monotonic_time.h>
#include <Distribution/distribution_message.h>
#include <Packet/ip_endpoint.h>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Asks control hosts for newer configurations, one at a time; the next one when an answer is overdue.
/// Used by one thread.
class configuration_subscriber {
public:
    /// @param controlHosts Distribution endpoints of the control hosts, at least one.
    /// @param request What to ask; haveRevision and sequence are set for each request.
    configuration_subscriber(std::vector<ip_endpoint> controlHosts, configuration_request request);
    configuration_subscriber(configuration_subscriber const&) = delete;
    configuration_subscriber& operator=(configuration_subscriber const&) = delete;
    ~configuration_subscriber();

    /// @param revision The revision in force on this host.
    /// @param tableState synchronisation of the tables as a number, for the control host's status.
    /// @param timeout Longest time to wait.
    /// @return A newer configuration, when one has arrived.
    std::optional<configuration_response> step(
        uint64_t revision, uint32_t tableState, std::chrono::milliseconds timeout);

    /// @return When a control host last answered; nothing before the first answer.
    std::optional<monotonic_time> lastAnswer() const;

private:
    struct state;
    void connect();
    void moveOn();
    void ask(uint64_t revision, uint32_t tableState);

    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
