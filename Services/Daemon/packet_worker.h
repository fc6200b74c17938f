#pragma once

#include <Coordination/flow_state.h>
#include <Coordination/forwarding_view.h>
#include <Forwarding/packet_processor.h>
#include <Forwarding/processor_counters.h>
#include <Forwarding/processor_settings.h>
#include <Kernel/bounded_mailbox.h>
#include <Kernel/bounded_ring.h>
#include <Kernel/worker_thread.h>
#include <Packet/udp_packet_io.h>
#include <Routing/flow_router.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <functional>
#include <memory>

namespace bilberryyard {

/// The thread that forwards packets. It owns the flow router; other threads access it through rings and tasks.
class packet_worker {
public:
    /// A function that runs on the packet thread, for example to explain the route of a flow.
    using router_task = std::function<void(flow_router&)>;

    /// Opens the sockets and starts the thread.
    /// @param fabric Endpoint for packets from the fabric.
    /// @param relay Endpoint for packets that other balancers relay.
    /// @return The running thread; Unavailable when an endpoint cannot be bound.
    static absl::StatusOr<std::unique_ptr<packet_worker>> create(
        ip_endpoint const& fabric, ip_endpoint const& relay, processor_settings const& settings);

    /// Rings from the coordination thread to the packet thread.
    bounded_ring<std::shared_ptr<forwarding_view const>>& views() { return m_views; }
    bounded_ring<flow_command>& commands() { return m_commands; }
    /// Ring from the packet thread to the coordination thread.
    bounded_ring<flow_result>& results() { return m_results; }
    /// Tasks from any thread to the packet thread.
    bounded_mailbox<router_task>& tasks() { return m_tasks; }

    processor_counters const& counters() const { return m_counters; }
    /// @return Packets that the kernel dropped because a receive buffer was full, on both sockets.
    uint64_t kernelDrops() const { return m_kernelDrops.load(std::memory_order_relaxed); }
    uint64_t sendFailures() const { return m_sendFailures.load(std::memory_order_relaxed); }
    uint64_t flowCount() const { return m_flowCount.load(std::memory_order_relaxed); }

private:
    packet_worker(udp_packet_io fabric, udp_packet_io relay, processor_settings const& settings);
    void run(std::stop_token const& stopToken);
    void processInput();
    void execute(flow_command const& command, monotonic_time now);
    void execute(export_command const& command, monotonic_time now);
    void execute(import_command const& command, monotonic_time now);
    void execute(settle_command const& command, monotonic_time now);
    void sendHandshakeStatistics(monotonic_time now);
    void publishCounters();

    udp_packet_io m_fabric;
    udp_packet_io m_relay;
    processor_counters m_counters;
    handshake_observer m_observer;
    flow_router m_router;
    packet_processor<flow_router, udp_packet_io> m_processor;
    std::shared_ptr<forwarding_view const> m_view;
    monotonic_time m_statisticsSentAt;
    bounded_ring<std::shared_ptr<forwarding_view const>> m_views { 64 };
    bounded_ring<flow_command> m_commands { 1024 };
    bounded_ring<flow_result> m_results { 1024 };
    bounded_mailbox<router_task> m_tasks { 64 };
    std::atomic<uint64_t> m_kernelDrops { 0 };
    std::atomic<uint64_t> m_sendFailures { 0 };
    std::atomic<uint64_t> m_flowCount { 0 };
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
