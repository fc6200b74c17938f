#pragma once

#include <Kernel/bounded_ring.h>
#include <Kernel/worker_thread.h>
#include <Trace/trace_writer.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace bilberryyard {

/// Records the inputs of one host's decision code. Each producer thread has a ring of its own, and a worker thread
/// writes the file. Recording never blocks: an input that does not fit into its ring is dropped and counted, and the
/// count is written to the trace.
class trace_recorder {
public:
    /// @param path File to write; an existing one is replaced.
    /// @param start Time that becomes zero in the trace.
    /// @param capacity Capacity of each ring in inputs.
    /// @return The running recorder, or Unavailable when the file cannot be written.
    static absl::StatusOr<std::unique_ptr<trace_recorder>> create(
        std::string const& path, trace_header const& header, monotonic_time start, size_t capacity = 65'536);

    /// Records a packet. Must only be called by the packet thread.
    /// @return False if the ring was full and the packet was dropped.
    bool recordPacket(packet_input body, monotonic_time now) { return record(m_packetInputs, std::move(body), now); }

    /// Records an announcement, peer message or configuration. Must only be called by the coordination thread.
    /// @return False if the ring was full and the input was dropped.
    bool recordControl(trace_input::body_type body, monotonic_time now)
    {
        return record(m_controlInputs, std::move(body), now);
    }

    /// Stops the worker thread, then writes the inputs left in the rings and the end record. The producers must have
    /// stopped.
    /// @return The first write error.
    absl::Status finish();

    /// @return Number of inputs dropped because a ring was full.
    uint64_t dropped() const { return m_packetInputs.refusedCount() + m_controlInputs.refusedCount(); }

private:
    trace_recorder(trace_writer writer, monotonic_time start, size_t capacity);
    static void keepFirstError(absl::Status& first, absl::Status const& status);
    bool record(bounded_ring<trace_input>& ring, trace_input::body_type body, monotonic_time now);
    void run(std::stop_token const& stopToken);
    size_t drain();

    trace_writer m_writer;
    monotonic_time m_start;
    bounded_ring<trace_input> m_packetInputs;
    bounded_ring<trace_input> m_controlInputs;
    duration m_lastTime {};
    uint64_t m_writtenDrops = 0;
    /// First write error.
    absl::Status m_status;
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
