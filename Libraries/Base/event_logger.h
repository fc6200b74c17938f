#pragma once

#include <Base/log_event.h>
#include <memory>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Writes numbered events through log4cplus. Safe to use from several threads.
class event_logger {
public:
    /// Sets up log4cplus for the process: one line an event on standard error.
    /// @param minimum Events below this severity are not written.
    static void configureProcess(log_severity minimum);

    /// Sets up log4cplus for the process: lines are collected and written to standard output in batches, and dropped
    /// rather than waited for.
    /// @param minimum Events below this severity are not written.
    static void configureBoundedOutput(log_severity minimum);

    /// Writes the collected lines. Called often by a process with bounded output; does nothing in others.
    static void flush();

    /// @param component Name of the component, the logger name in the output.
    explicit event_logger(std::string const& component);
    event_logger(event_logger const&) = delete;
    event_logger& operator=(event_logger const&) = delete;
    ~event_logger();

    /// Writes one event.
    /// @param event The event from the catalogue.
    /// @param detail Values that belong to it, as "key=value" pairs.
    void emit(log_event const& event, std::string_view detail) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace bilberryyard
