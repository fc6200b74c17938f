#pragma once

#include <Trace/trace_header.h>
#include <Trace/trace_input.h>
#include <string>
#include <vector>

namespace bilberryyard {

/// Builder of a trace in memory, for one deployment.
class trace_scenario {
public:
    /// The two deployments of docs/design.md section 1.
    enum class deployment : uint8_t {
        Flessenpost,
        Derwent,
    };

    /// Selects one of the two services of a deployment.
    enum class service_role : uint8_t {
        /// Service "orders" of Flessenpost or "bookings" of Derwent.
        Main,
        /// Service "gallery" of Flessenpost or "packs" of Derwent.
        Secondary,
    };

    /// @param name Name of the guarantee or failure case, for example "P1". The seed is derived from it and the name
    ///     of the deployment.
    trace_scenario(deployment where, std::string const& name, duration length);

    trace_header& header() { return m_header; }
    trace_header const& header() const { return m_header; }
    /// @return The inputs sorted by time.
    std::vector<trace_input> inputs() const;

    uint32_t mainServers() const { return 14; }
    uint32_t secondaryServers() const { return 4; }
    /// @param index Index of the entry host, starting from 0; larger indices wrap around.
    host_id entryHost(size_t index) const { return m_header.entryHosts[index % m_header.entryHosts.size()].id; }
    host_id controlHost(size_t index) const { return m_header.controlHosts[index % m_header.controlHosts.size()].id; }

    /// Starts all servers of both services.
    /// @param connectionLimit Connection limit of each server.
    void startServers(uint32_t connectionLimit = 2000);
    void startServer(duration at, service_role role, uint32_t serverId, uint32_t connectionLimit = 2000);
    void addServerEvent(duration at, uint32_t serverId, server_event_kind kind);
    void addHostEvent(duration at, host_id host, host_event_kind kind);
    void addPartition(duration at, std::vector<zone_id> zones);
    void addFault(duration at, host_id sender, host_id receiver, uint32_t lossPerMille, duration delay);

    /// Adds long-lived flows with a request every 900 ms.
    /// @param startWindow Time over which the starts of the flows are spread.
    /// @param endTime Approximate time of the last request of each flow.
    void addFeeds(duration at, service_role role, uint32_t count, duration startWindow, duration endTime);
    /// Adds short flows, each with one request.
    void addRequests(duration at, service_role role, uint32_t count, duration startWindow);
    /// Adds a burst of flows with other parameters.
    void addFlows(duration at, service_role role, flow_burst burst);

    /// Adds a configuration change that sets a different idle timeout.
    /// @param number Determines the idle timeout and the text of the change's reason.
    void addChange(duration at, size_t control, std::string const& requestId, uint64_t base, uint32_t number);

private:
    bool isFlessenpost() const { return m_deployment == deployment::Flessenpost; }
    void add(duration at, trace_input::body_type body) { m_inputs.push_back({ at, std::move(body) }); }
    std::string configurationYaml(uint32_t idleSeconds) const;

    deployment m_deployment;
    trace_header m_header;
    std::vector<trace_input> m_inputs;
};

} // namespace bilberryyard
