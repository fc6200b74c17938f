#pragma once

#include <Base/log_event.h>
#include <memory>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Writes numbered events through log4cplus. Safe to use from several threads.
class event_logger {
public:
    /// Configures log4cplus for the process: each event is written as one line to standard error.
    /// @param minimum Events below this severity are not written.
    static void configureProcess(log_severity minimum);

    /// Configures log4cplus for the process: lines are buffered and written to standard output in batches. Lines are
    /// dropped when the buffer is full, so that logging never blocks.
    /// @param minimum Events below this severity are not written.
    static void configureBoundedOutput(log_severity minimum);

    /// Writes the buffered lines. A process with bounded output must call this often; without bounded output it has no
    /// effect.
    static void flush();

    /// @param component Name of the component; it becomes the logger name in the output.
    explicit event_logger(std::string const& component);
    event_logger(event_logger const&) = delete;
    event_logger& operator=(event_logger const&) = delete;
    ~event_logger();

    /// @param detail Values of this occurrence, as "key=value" pairs.
    void emit(log_event const& event, std::string_view detail) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace bilberryyard
