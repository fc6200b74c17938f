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
/// FIXME: The roles are members of this class; the coding style requires that they are looked up in a
/// service_directory.
class daemon {
public:
    /// Opens all sockets and starts all threads.
    /// @return The running daemon; the error of the role or server that cannot start.
    static absl::StatusOr<std::unique_ptr<daemon>> create(daemon_settings const& settings);

    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;
    ~daemon();

    /// Blocks until a stop is requested, then stops the roles gracefully.
    /// @param stopRequested Polled every 20 ms on the calling thread.
    void run(std::function<bool()> const& stopRequested);

private:
    struct state;
    explicit daemon(std::unique_ptr<state> prepared);

    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
