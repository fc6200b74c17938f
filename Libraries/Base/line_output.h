#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Buffers log lines and writes them in batches without blocking. When the reader of the descriptor is too slow, lines
/// are dropped and counted. Safe to use from several threads.
class line_output {
public:
    /// Lines that do not fit into a buffer of this size are dropped.
    static constexpr size_t maximumPendingBytes = size_t { 256 } * 1024;

    /// @param descriptor Receives the lines. Not owned; must stay open for the lifetime of this object.
    explicit line_output(int descriptor);

    /// @param line A line including its line feed.
    void append(std::string_view line);

    /// Writes as much as the descriptor accepts without blocking.
    void flush();

    /// @return Number of lines dropped so far.
    uint64_t dropped() const;

private:
    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_pending;
    uint64_t m_droppedCount = 0;
};

} // namespace bilberryyard
