#pragma once

#include <Kernel/worker_thread.h>
#include <Packet/ip_endpoint.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bilberryyard {

/// The announcement of an emulated backend server; see POST /v1/servers in docs/http-interface.md.
struct announced_server {
    std::string service;
    ip_endpoint endpoint;
    std::string zone;
    std::string state = "starting";
    uint32_t slots = 2;
    uint32_t connectionLimit = 2000;
    uint32_t busySlots = 0;
    uint32_t queue = 0;
    uint32_t openConnections = 0;
    uint64_t incarnation = 0;
    auto operator<=>(announced_server const&) const = default;

    /// @return The JSON body.
    std::string toJson() const;
};

/// Announces a backend server to one of the entry hosts every second and at each change of state.
class announcer {
public:
    /// @param entryHosts HTTP endpoints of entry hosts; not empty. When a host does not accept the announcement, the
    /// next one is tried.
    /// @param initial The first announcement; its address selects the entry host to start with.
    announcer(std::vector<ip_endpoint> entryHosts, announced_server const& initial);

    /// Replaces the announcement. A change of state is announced at once.
    void update(announced_server const& value);

private:
    void run(std::stop_token const& stopToken);
    bool announceOnce(announced_server const& value);

    std::vector<ip_endpoint> m_entryHosts;
    size_t m_preferredHost = 0;
    std::mutex m_mutex;
    announced_server m_value;
    std::atomic<bool> m_stateChanged { false };
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
