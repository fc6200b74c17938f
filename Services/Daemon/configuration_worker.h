#pragma once

#include "coordination_worker.h"
#include <Base/event_logger.h>
#include <Configuration/configuration.h>
#include <Distribution/configuration_subscriber.h>
#include <Kernel/worker_thread.h>
#include <atomic>
#include <memory>
#include <string>

namespace bilberryyard {

/// The thread that requests configurations from the control hosts and passes them to the coordination thread. It saves
/// the last valid configuration, so that the host can start from it while no control host is reachable.
class configuration_worker {
public:
    /// Loads the saved configuration and starts the thread.
    /// @param coordination Must outlive this object.
    /// @param zone Name of this host's zone; configurations without this zone are refused.
    /// @param savedFile Path of the saved configuration; empty to neither load nor save one.
    configuration_worker(std::unique_ptr<configuration_subscriber> subscriber, coordination_worker& coordination,
        std::string zone, std::string savedFile);

    /// @return Revision of the last configuration that was passed to the coordination thread; 0 before the first one.
    uint64_t revision() const { return m_revision.load(std::memory_order_relaxed); }

private:
    void run(std::stop_token const& stopToken);
    void loadSavedConfiguration();
    absl::Status apply(uint64_t revision, std::string const& yaml);
    void save(uint64_t revision, std::string const& yaml);

    std::unique_ptr<configuration_subscriber> m_subscriber;
    coordination_worker& m_coordination;
    std::string m_zone;
    std::string m_savedFile;
    event_logger m_logger { "configuration" };
    std::atomic<uint64_t> m_revision { 0 };
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
