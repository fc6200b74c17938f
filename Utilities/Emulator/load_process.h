#pragma once

#include "emulated_caller.h"
#include "load_summary.h"
#include "segment_codec.h"
#include "timer_queue.h"
#include <Packet/udp_packet_io.h>
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberryyard {

/// A service under load.
struct load_target {
    std::string service;
    ip_endpoint address;
    /// Share of the new flows, relative to the other targets.
    uint32_t weight = 1;
    auto operator<=>(load_target const&) const = default;
};

struct load_settings {
    ip_endpoint fabric;
    /// Endpoint that receives the packets to callers from balancers and backend servers.
    ip_endpoint gateway;
    std::vector<load_target> targets;
    /// New request flows per second, summed over all targets.
    uint32_t rate = 200;
    std::chrono::milliseconds duration { 10'000 };
    /// Number of long-lived feeds, opened evenly over feedRamp and kept open until the end.
    uint32_t feeds = 100;
    std::chrono::milliseconds feedRamp { 2'000 };
    std::chrono::milliseconds feedInterval { 500 };
    /// Payload size of documents in bytes; every second request is a document, the others are orders.
    uint32_t documentSize = 4'000;
    uint64_t seed = 1;
    /// File that receives one line "TIME_MS OUTCOME SERVICE SERVER REQUEST FLOW" for each flow; empty for none.
    std::string flowLog;
    auto operator<=>(load_settings const&) const = default;
};

/// The load generator: emulated callers that send requests and keep feeds open.
class load_process {
public:
    static absl::StatusOr<std::unique_ptr<load_process>> create(load_settings const& settings);

    /// Runs the load until its duration is over or a stop is requested, and ends all flows.
    /// @return The totals of all flows.
    load_summary run();

private:
    load_process(load_settings const& settings, udp_packet_io io);
    void openDueFlows(monotonic_time now);
    void openFlow(request_kind kind, monotonic_time now);
    load_target const& chooseTarget();
    flow_key nextKey(load_target const& target);
    void receivePackets(packet_batch& batch, monotonic_time now);
    void pollTimers(monotonic_time now);
    void transmit(uint64_t callerId, emulated_caller& caller);
    void removeIfEnded(uint64_t callerId);
    void step(packet_batch& batch);
    void finishFeeds();
    void logFlow(emulated_caller const& caller);

    load_settings m_settings;
    udp_packet_io m_io;
    segment_sender m_sender;
    std::mt19937_64 m_random;
    std::unordered_map<uint64_t, emulated_caller> m_callers;
    std::map<flow_key, uint64_t> m_callerIds;
    timer_queue m_timers;
    std::vector<tcp_segment> m_segments;
    load_summary m_summary;
    std::string m_flowLog;
    monotonic_time m_start;
    uint64_t m_nextCallerId = 1;
    uint64_t m_openedRequests = 0;
    uint64_t m_openedFeeds = 0;
    uint64_t m_pendingRequests = 0;
};

} // namespace bilberryyard
