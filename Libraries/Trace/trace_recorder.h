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

/// Records the inputs of one host's decision code. Each producer thread has a ring of its own; a thread of the
/// recorder writes the file. Recording never waits: an input that does not fit is counted, and the count is
/// written into the trace.
class trace_recorder {
public:
    /// @param path The file.
    /// @param header The header.
    /// @param start Time zero of the trace.
    /// @param capacity Inputs that each ring holds.
    /// @return The running recorder, or Unavailable when the file cannot be written.
    static absl::StatusOr<std::unique_ptr<trace_recorder>> create(
        std::string const& path, trace_header const& header, monotonic_time start, size_t capacity = 65'536);

    /// Takes an input of the packet thread; called by that thread only.
    /// @param body A packet.
    /// @param now The time.
    /// @return Whether it was taken.
    bool recordPacket(packet_input body, monotonic_time now) { return record(m_packets, std::move(body), now); }

    /// Takes an input of the coordination thread: announcements, peer messages, configurations. Called by that
    /// thread only.
    /// @param body The input.
    /// @param now The time.
    /// @return Whether it was taken.
    bool recordControl(trace_input::body_type body, monotonic_time now)
    {
        return record(m_controls, std::move(body), now);
    }

    /// Stops the thread, writes what the rings hold and the end record. The producers must have stopped.
    /// @return The first error of writing.
    absl::Status finish();

    /// @return Inputs that did not fit.
    uint64_t dropped() const { return m_packets.refusedCount() + m_controls.refusedCount(); }

private:
    trace_recorder(trace_writer writer, monotonic_time start, size_t capacity);
    static void note(absl::Status& first, absl::Status const& status);
    bool record(bounded_ring<trace_input>& ring, trace_input::body_type body, monotonic_time now);
    void run(std::stop_token const& stopToken);
    size_t drain();

    trace_writer m_writer;
    monotonic_time m_start;
    bounded_ring<trace_input> m_packets;
    bounded_ring<trace_input> m_controls;
    duration m_last {};
    uint64_t m_writtenDrops = 0;
    absl::Status m_status;
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
