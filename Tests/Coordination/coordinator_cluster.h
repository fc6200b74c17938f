#pragma once

#include <Coordination/balancer_coordinator.h>
#include <CoordinationCodec/coordination_codec.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace bilberryyard {

/// Entry hosts that are connected by an in-memory queue. Messages arrive in order, one tick after they were sent. Each
/// message is encoded and decoded, so that its bytes can be counted. The simulated flow routers have no flows.
class coordinator_cluster {
public:
    static constexpr std::chrono::milliseconds tick { 20 };

    /// @param hostCount Number of entry hosts, whose identifiers start at 1; none of them is running yet.
    /// @param bucketCount Number of buckets of each of the two services.
    coordinator_cluster(uint32_t hostCount, uint32_t bucketCount);

    void start(uint32_t host);
    void startAll();
    void stop(uint32_t host) { m_hosts.erase(host); }
    bool isRunning(uint32_t host) const { return m_hosts.contains(host); }

    /// @return Key of a new server, which announces itself every second to the running hosts in rotation.
    server_key addServer(uint32_t service, uint32_t number);
    void drain(server_key const& key);
    /// Makes a server announce itself to one host only.
    void announceOnlyTo(uint32_t host, server_key const& key) { m_onlyHost[key] = host; }

    /// Advances the time.
    /// @param check Called after every tick.
    void run(duration length, std::function<void()> const& check = {});

    balancer_coordinator& at(uint32_t host) { return *m_hosts.at(host).coordinator; }
    forwarding_view const& viewOf(uint32_t host) { return *m_hosts.at(host).view; }
    std::vector<uint32_t> running() const;
    monotonic_time now() const { return m_now; }

    /// Returns whether a message is delivered rather than dropped.
    std::function<bool(outgoing_message const&)> shouldDeliver = [](outgoing_message const&) { return true; };

    /// Whether every host reports handshakes of every server each second, as a host under load does.
    bool reportsHandshakes = false;

    /// Resets the byte counts of all hosts.
    void resetByteCounts() { m_bytes.clear(); }
    /// @return The largest number of bytes that each host sent in any 10 s since the last reset.
    std::map<uint32_t, size_t> maximumWindowBytes() const;

private:
    struct entry_host {
        std::unique_ptr<balancer_coordinator> coordinator;
        std::shared_ptr<forwarding_view const> view;
    };
    struct queued_message {
        outgoing_message message;
        monotonic_time arrival;
    };

    void announceServers();
    void reportHandshakes();
    void deliverDue();
    void step(uint32_t host);
    void respond(balancer_coordinator& coordinator, flow_command const& command);

    uint32_t m_hostCount;
    coordinated_configuration m_configuration;
    coordination_codec m_codec { 1 };
    monotonic_time m_now { std::chrono::hours { 1 } };
    uint64_t m_ticks = 0;
    std::map<uint32_t, uint32_t> m_incarnations;
    std::map<uint32_t, entry_host> m_hosts;
    std::vector<server_announcement> m_servers;
    std::map<server_key, uint32_t> m_onlyHost;
    std::deque<queued_message> m_queuedMessages;
    /// Bytes sent by each host in each tick.
    std::vector<std::map<uint32_t, size_t>> m_bytes;
};

} // namespace bilberryyard
