#pragma once

#include <Base/monotonic_time.h>
#include <Distribution/distribution_message.h>
#include <Packet/ip_endpoint.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bilberryyard {

/// What the latest request of a balancer reported.
struct subscriber_status {
    host_id host;
    uint32_t incarnation = 0;
    std::string zone;
    /// Revision in force on the balancer.
    uint64_t revision = 0;
    /// Synchronisation state of the balancer's tables, as in configuration_request.
    uint32_t state = 0;
    /// When the request was received.
    monotonic_time lastSeenAt;
    auto operator<=>(subscriber_status const&) const = default;
};

/// Sends configurations to balancers in response to their long-polling requests. Not thread-safe.
class configuration_publisher {
public:
    /// @param local Endpoint to which balancers connect.
    /// @param deployment Hash of the deployment's name; requests of other deployments are ignored.
    /// @return The publisher; Unavailable when the address cannot be bound.
    static absl::StatusOr<configuration_publisher> create(ip_endpoint const& local, uint32_t deployment);

    configuration_publisher(configuration_publisher&&) noexcept;
    configuration_publisher& operator=(configuration_publisher&&) noexcept;
    ~configuration_publisher();

    /// Sets the configuration to distribute and responds to waiting requests. Has no effect unless the revision is
    /// higher than the current one.
    void publish(uint64_t revision, std::string yaml);

    /// Sets the age of this host's configuration. Above 3 seconds, as on a host that is partitioned from the majority,
    /// requests do not wait: their responses are marked as stale, so that balancers switch to another control host.
    /// @param age Time since the data was last known to be current; not set when it never was.
    void setDataAge(std::optional<duration> age);

    /// Receives requests, and responds to those for which there is a newer configuration or whose long poll has
    /// expired.
    /// @param timeout Maximum time to wait for a request.
    void step(std::chrono::milliseconds timeout);

    /// @return All balancers from which a request was received, ordered by host.
    std::vector<subscriber_status> subscribers() const;

private:
    struct state;
    explicit configuration_publisher(std::unique_ptr<state> opened);
    void receiveRequests();
    void respondToDueRequests();

    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
