#pragma once

#include <Coordination/balancer_coordinator.h>
#include <memory>
#include <mutex>
#include <vector>

namespace bilberryyard {

/// State of the balancer for HTTP handlers and readiness. Published by the coordination thread, read by any thread.
struct balancer_status {
    bool isConfigured = false;
    bool isLeaving = false;
    bool mayLeave = false;
    synchronisation state = synchronisation::Unsynchronised;
    std::optional<routed_peer> planner;
    std::shared_ptr<coordinated_configuration const> configuration;
    std::vector<peer_status> hosts;
    std::vector<server_status> servers;
    std::map<service_id, std::shared_ptr<bucket_table const>> tables;
};

/// Shares the latest value that one thread publishes with other threads.
template <typename Value>
class published_value {
public:
    /// @param value Must not be null.
    void publish(std::shared_ptr<Value const> value)
    {
        std::lock_guard const lock(m_mutex);
        m_value = std::move(value);
    }

    /// @return The latest value; never null.
    std::shared_ptr<Value const> get() const
    {
        std::lock_guard const lock(m_mutex);
        return m_value;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<Value const> m_value = std::make_shared<Value const>();
};

} // namespace bilberryyard
