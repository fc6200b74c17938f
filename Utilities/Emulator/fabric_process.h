#pragma once

#include <Kernel/worker_thread.h>
#include <Packet/udp_packet_io.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace bilberryyard {

/// The endpoints of a balancer that the fabric uses.
struct fabric_target {
    ip_endpoint packets;
    ip_endpoint http;
    auto operator<=>(fabric_target const&) const = default;
};

struct fabric_settings {
    ip_endpoint listen;
    std::vector<fabric_target> targets;
    uint64_t seed = 1;
    auto operator<=>(fabric_settings const&) const = default;
};

/// The emulated fabric: forwards each packet to a random balancer among those whose readiness probe succeeds.
class fabric_process {
public:
    static absl::StatusOr<std::unique_ptr<fabric_process>> create(fabric_settings const& settings);

    /// Forwards packets until a stop is requested.
    void run();

private:
    fabric_process(fabric_settings const& settings, udp_packet_io io);
    void probe(std::stop_token const& stopToken);
    bool isReady(fabric_target const& target) const;
    void refreshReadyTargets();
    void forwardBatch(packet_batch& batch);

    fabric_settings m_settings;
    udp_packet_io m_io;
    std::mt19937_64 m_random;
    std::vector<std::atomic<bool>> m_ready;
    std::vector<ip_endpoint> m_readyTargets;
    uint64_t m_droppedPackets = 0;
    std::unique_ptr<worker_thread> m_prober;
};

} // namespace bilberryyard
