#pragma once

#include <Coordination/balancer_coordinator.h>
#include <CoordinationCodec/coordination_codec.h>
#include <absl/status/statusor.h>
#include <array>
#include <deque>
#include <string>

namespace bilberryyard {

/// Shape of a pool: the entry hosts that the fabric sprays one set of services over.
struct pool_shape {
    uint32_t hosts = 12;
    uint32_t servers = 84;
    uint32_t services = 13;
    uint32_t bucketCount = 512;
};

/// What one entry host spends in a second of simulated time.
struct pool_cost {
    /// Processor time of step, receive, encode and decode, as a share of one core.
    double otherShare = 0;
    double plannerShare = 0;
    double otherBytesSent = 0;
    double plannerBytesSent = 0;
    double bytesReceived = 0;
    double messagesSent = 0;
    /// Bytes that the whole pool sent, by the kind of the message body.
    std::array<double, std::variant_size_v<coordination_message::body_type>> bytesByKind {};
    /// Memory of one coordinator.
    double memoryBytes = 0;
};

/// Coordinators joined by an in-memory queue, with a simulated clock. Every server announces itself each second to
/// one fixed host; every host reports the evidence of three servers each second.
class pool_simulation {
public:
    /// The daemon's coordination thread waits at most this long for a message, then steps.
    static constexpr duration daemonStep = std::chrono::milliseconds { 10 };
    /// Short enough for every interval of the coordinator: the traffic is the same as with daemonStep.
    static constexpr duration longStep = std::chrono::milliseconds { 100 };

    static absl::StatusOr<pool_simulation> create(pool_shape const& shape);

    /// Runs all hosts.
    /// @param time simulated time
    /// @param stepTime simulated time between two steps of a host
    absl::Status run(duration time, duration stepTime);

    /// Runs all hosts in long steps until every bucket is stable.
    /// @return the simulated time, or the limit when it passed first
    absl::StatusOr<duration> settle(duration limit);

    /// Runs all hosts and gives the mean cost.
    /// @param time simulated time
    /// @param stepTime simulated time between two steps of a host
    absl::StatusOr<pool_cost> measure(duration time, duration stepTime);

    /// @return whether every bucket of every service is stable at the first host
    bool isSettled() const;

private:
    struct host {
        balancer_coordinator coordinator;
        std::deque<std::string> inbox;
        double processorTime = 0;
        uint64_t bytesSent = 0;
        uint64_t bytesReceived = 0;
        uint64_t messagesSent = 0;
    };

    explicit pool_simulation(pool_shape const& shape)
        : m_shape(shape)
    {
    }

    absl::Status announce(duration stepTime);
    void reportEvidence();
    absl::Status stepHost(host& value);
    void answer(host& value, flow_command const& command);

    pool_shape m_shape;
    coordination_codec m_codec { 1 };
    monotonic_time m_now { std::chrono::hours { 1 } };
    std::vector<host> m_hosts;
    std::array<uint64_t, std::variant_size_v<coordination_message::body_type>> m_bytesByKind {};
    size_t m_memoryBefore = 0;
};

} // namespace bilberryyard
