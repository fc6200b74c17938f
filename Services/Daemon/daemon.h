#pragma once

#include <Base/event_logger.h>
#include <Configuration/daemon_settings.h>
#include <Kernel/metrics_registry.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>

namespace bilberryyard {

/// The process: its roles and its HTTP server.
/// FIXME: The roles are members here; the house style wants them to find each other in a service_directory.
class daemon {
public:
    /// Opens all sockets and starts all threads.
    /// @param settings The settings.
    /// @return The daemon, or why it cannot start.
    static absl::StatusOr<std::unique_ptr<daemon>> create(daemon_settings const& settings);

    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;
    ~daemon();

    /// Runs until a stop is requested, then stops gracefully.
    /// @param stopRequested Asked every few milliseconds.
    void run(std::function<bool()> const& stopRequested);

private:
    struct state;
    explicit daemon(std::unique_ptr<state> prepared);

    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
