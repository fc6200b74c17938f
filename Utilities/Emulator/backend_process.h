#pragma once

#include "announcer.h"
#include "backend_application.h"
#include "segment_codec.h"
#include "tcp_connection.h"
#include "timer_queue.h"
#include <Packet/udp_packet_io.h>
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace bilberryyard {

struct backend_settings {
    backend_application_settings application;
    /// Endpoint that receives encapsulated packets.
    ip_endpoint listen;
    /// Destination of packets to callers (direct server return).
    ip_endpoint callerGateway;
    std::vector<ip_endpoint> entryHosts;
    std::string zone;
    uint32_t connectionLimit = 2000;
    /// How long the server stays in state "starting" after the start of the process.
    std::chrono::milliseconds startDelay { 0 };
    /// Maximum time to wait for connections to end after SIGTERM.
    std::chrono::milliseconds drainTimeout { 10'000 };
    /// File that receives the id of each executed order; empty for none.
    std::string executionLog;
    auto operator<=>(backend_settings const&) const = default;
};

/// An emulated backend server in its own process: decapsulates packets, runs the application and sends its packets
/// directly to the callers.
class backend_process {
public:
    static absl::StatusOr<std::unique_ptr<backend_process>> create(backend_settings const& settings);

    /// Serves until a stop is requested and the server has drained.
    void run();

private:
    struct connection {
        flow_key key;
        tcp_connection endpoint;
    };

    backend_process(backend_settings const& settings, udp_packet_io io);
    void receivePackets(packet_batch& batch, monotonic_time now);
    void handleSegment(received_segment const& received, monotonic_time now);
    void pollTimers(monotonic_time now);
    void deliver(std::vector<application_output> const& outputs, monotonic_time now);
    void transmit(uint64_t connectionId, connection& value);
    void removeIfEnded(uint64_t connectionId);
    void announce(std::string const& state);
    void writeExecutionLog() const;

    backend_settings m_settings;
    udp_packet_io m_io;
    segment_sender m_sender;
    backend_application m_application;
    std::unique_ptr<announcer> m_announcer;
    std::mt19937_64 m_random;
    std::unordered_map<uint64_t, connection> m_connections;
    std::map<flow_key, uint64_t> m_connectionIds;
    timer_queue m_timers;
    std::vector<tcp_segment> m_segments;
    uint64_t m_nextConnectionId = 1;
    uint64_t m_unknownSegmentCount = 0;
    uint64_t m_acceptedCount = 0;
    uint64_t m_incarnation;
};

} // namespace bilberryyard
