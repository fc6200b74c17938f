#pragma once

#include <Coordination/balancer_coordinator.h>
#include <CoordinationCodec/coordination_codec.h>
#include <absl/status/statusor.h>
#include <array>
#include <deque>
#include <string>

namespace bilberryyard {

/// Size of a pool: the entry hosts over which the fabric distributes the packets of one set of services.
struct pool_shape {
    uint32_t hosts = 12;
    uint32_t servers = 84;
    uint32_t services = 13;
    uint32_t bucketCount = 512;
};

/// Cost of an entry host per second of simulated time. `planner` is the host that plans, `other` the mean of the rest.
struct pool_cost {
    /// Processor time of announcements, steps, receiving, encoding and decoding, as a share of one core.
    double otherShare = 0;
    double plannerShare = 0;
    double otherBytesSent = 0;
    double plannerBytesSent = 0;
    double bytesReceived = 0;
    double messagesSent = 0;
    /// Bytes sent per host, by the kind of the message body.
    std::array<double, std::variant_size_v<coordination_message::body_type>> bytesByKind {};
    /// Allocated bytes per coordinator.
    double memoryBytes = 0;
};

/// Coordinators connected by an in-memory queue, with a simulated clock. Every server announces itself each second to
/// one fixed host; every host reports the handshake statistics of three servers each second.
class pool_simulation {
public:
    /// Step interval of the daemon, whose coordination thread waits at most this long for a message before each step.
    static constexpr duration daemonStepInterval = std::chrono::milliseconds { 10 };
    /// Shorter than every interval of the coordinator, so that the traffic is the same as with daemonStepInterval.
    static constexpr duration longStepInterval = std::chrono::milliseconds { 100 };

    static absl::StatusOr<pool_simulation> create(pool_shape const& shape);

    /// Runs all hosts for a period of simulated time.
    /// @param stepInterval Simulated time between two steps of a host.
    absl::Status run(duration period, duration stepInterval);

    /// Runs all hosts with longStepInterval until every bucket is stable or the timeout has passed.
    /// @return The simulated time that passed.
    absl::StatusOr<duration> settle(duration timeout);

    /// Runs all hosts for a period of simulated time and measures their cost.
    /// @param stepInterval Simulated time between two steps of a host.
    absl::StatusOr<pool_cost> measure(duration period, duration stepInterval);

    /// @return Whether every bucket of every service is stable in the tables of the first host.
    bool isSettled() const;

private:
    struct host {
        balancer_coordinator coordinator;
        std::deque<std::string> inbox;
        double processorTimeSeconds = 0;
        uint64_t bytesSent = 0;
        uint64_t bytesReceived = 0;
        uint64_t messagesSent = 0;
    };

    explicit pool_simulation(pool_shape const& shape)
        : m_shape(shape)
    {
    }

    absl::Status announce(duration stepInterval);
    void reportHandshakeStatistics();
    absl::Status stepHost(host& value);
    void executeCommand(host& value, flow_command const& command);

    pool_shape m_shape;
    coordination_codec m_codec { 1 };
    monotonic_time m_now { std::chrono::hours { 1 } };
    std::vector<host> m_hosts;
    std::array<uint64_t, std::variant_size_v<coordination_message::body_type>> m_bytesByKind {};
    size_t m_memoryBefore = 0;
};

} // namespace bilberryyard
