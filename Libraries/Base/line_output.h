#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Collects log lines and writes them in batches without ever blocking: when the reader of the descriptor does not keep
/// up, lines are dropped and counted. Safe to use from several threads.
class line_output {
public:
    /// Lines that wait beyond this are dropped.
    static constexpr size_t maximumWaitingBytes = size_t { 256 } * 1024;

    /// @param descriptor Where lines go; stays open for the life of this object.
    explicit line_output(int descriptor);

    /// @param line A line with its line end.
    void append(std::string_view line);

    /// Writes what the descriptor takes at once.
    void flush();

    /// @return Lines that were dropped so far.
    uint64_t dropped() const;

private:
    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_waiting;
    uint64_t m_dropped = 0;
};

} // namespace bilberryyard
