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

/// A balancer as a control host has last heard of it.
struct subscriber_status {
    host_id host;
    uint32_t incarnation = 0;
    std::string zone;
    /// Revision in force on the balancer.
    uint64_t revision = 0;
    uint32_t state = 0;
    monotonic_time lastSeenAt;
    auto operator<=>(subscriber_status const&) const = default;
};

/// Answers balancers' requests for configurations with long polls. Used by one thread.
class configuration_publisher {
public:
    /// @param local Where balancers connect.
    /// @param deployment Hash of the deployment's name.
    /// @return The publisher; Unavailable when the address cannot be bound.
    static absl::StatusOr<configuration_publisher> create(ip_endpoint const& local, uint32_t deployment);

    configuration_publisher(configuration_publisher&&) noexcept;
    configuration_publisher& operator=(configuration_publisher&&) noexcept;
    ~configuration_publisher();

    /// Makes a configuration available and answers the waiting requests. A lower revision has no effect.
    /// @param revision Its revision.
    /// @param yaml Its text.
    void publish(uint64_t revision, std::string yaml);

    /// States how old this host's data may be. A host that is cut off from the majority does not hold balancers:
    /// its answers tell them to ask another control host.
    /// @param age Time since the data was known to be current; nothing when it never was.
    void setFreshness(std::optional<duration> age);

    /// Receives requests and answers those that are due.
    /// @param timeout Longest time to wait for a request.
    void step(std::chrono::milliseconds timeout);

    /// @return The balancers heard so far, by host.
    std::vector<subscriber_status> subscribers() const;

private:
    struct state;
    explicit configuration_publisher(std::unique_ptr<state> opened);
    void receiveRequests();
    void answerDue();

    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
