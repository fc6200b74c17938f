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

/// Entry hosts joined by an in-memory queue. Every message passes the codec, so that its bytes count; a message
/// arrives one tick after it was sent, in order. The flow routers hold no flows.
class coordinator_cluster {
public:
    static constexpr std::chrono::milliseconds tick { 20 };

    /// @param hostCount Entry hosts, numbered from 1; none is started yet.
    /// @param bucketCount Buckets of each of the two services.
    coordinator_cluster(uint32_t hostCount, uint32_t bucketCount);

    void start(uint32_t host);
    void startAll();
    void stop(uint32_t host) { m_hosts.erase(host); }
    bool isRunning(uint32_t host) const { return m_hosts.contains(host); }

    /// @return Key of a new server that announces itself every second to one host after another.
    server_key addServer(uint32_t service, uint32_t number);
    void drain(server_key const& key);
    /// Lets a server announce itself to one host only.
    void announceOnlyTo(uint32_t host, server_key const& key) { m_onlyHost[key] = host; }

    /// Advances the time.
    /// @param length How long.
    /// @param check Called after every tick.
    void run(duration length, std::function<void()> const& check = {});

    balancer_coordinator& at(uint32_t host) { return *m_hosts.at(host).coordinator; }
    forwarding_view const& viewOf(uint32_t host) { return *m_hosts.at(host).view; }
    std::vector<uint32_t> running() const;
    monotonic_time now() const { return m_now; }

    /// Decides whether a message is delivered.
    std::function<bool(outgoing_message const&)> deliver = [](outgoing_message const&) { return true; };

    /// Whether every host counts handshakes of every server in every second, as a busy host does.
    bool evidence = false;

    /// Forgets the bytes counted so far.
    void resetBytes() { m_bytes.clear(); }
    /// @return The most bytes that a host sent in any 10 s since the last reset.
    std::map<uint32_t, size_t> largestWindow() const;

private:
    struct entry_host {
        std::unique_ptr<balancer_coordinator> coordinator;
        std::shared_ptr<forwarding_view const> view;
    };
    struct packet {
        outgoing_message message;
        monotonic_time arrival;
    };

    void announceServers();
    void reportEvidence();
    void deliverDue();
    void step(uint32_t host);
    void answer(balancer_coordinator& coordinator, flow_command const& command);

    uint32_t m_hostCount;
    coordinated_configuration m_configuration;
    coordination_codec m_codec { 1 };
    monotonic_time m_now { std::chrono::hours { 1 } };
    uint64_t m_ticks = 0;
    std::map<uint32_t, uint32_t> m_incarnations;
    std::map<uint32_t, entry_host> m_hosts;
    std::vector<server_announcement> m_servers;
    std::map<server_key, uint32_t> m_onlyHost;
    std::deque<packet> m_packets;
    /// Bytes sent in each tick.
    std::vector<std::map<uint32_t, size_t>> m_bytes;
};

} // namespace bilberryyard
