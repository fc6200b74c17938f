#pragma once

#include <Trace/trace_header.h>
#include <Trace/trace_input.h>
#include <string>
#include <vector>

namespace bilberryyard {

/// A trace in memory, built for one deployment.
class trace_scenario {
public:
    /// The two deployments of docs/design.md section 1.
    enum class deployment : uint8_t {
        Flessenpost,
        Derwent,
    };

    /// What a service serves.
    enum class work : uint8_t {
        /// orders or bookings.
        Main,
        /// gallery or packs.
        Side,
    };

    /// @param where The deployment.
    /// @param name Name of the promise or failure, for example "P1".
    /// @param length Length of the trace.
    trace_scenario(deployment where, std::string const& name, duration length);

    trace_header& header() { return m_header; }
    trace_header const& header() const { return m_header; }
    /// @return The inputs in order of time.
    std::vector<trace_input> inputs() const;

    uint32_t mainServers() const { return 14; }
    uint32_t sideServers() const { return 4; }
    /// @return Number of the entry host, counted from 0.
    host_id entryHost(size_t index) const { return m_header.entryHosts[index % m_header.entryHosts.size()].id; }
    host_id controlHost(size_t index) const { return m_header.controlHosts[index % m_header.controlHosts.size()].id; }

    /// Starts all servers.
    /// @param limit Connection limit of each.
    void startServers(uint32_t limit = 2000);
    void startServer(duration at, work what, uint32_t number, uint32_t limit = 2000);
    void serverEvent(duration at, uint32_t number, server_event_kind kind);
    void hostEvent(duration at, host_id host, host_event_kind kind);
    void partition(duration at, std::vector<zone_id> zones);
    void fault(duration at, host_id sender, host_id receiver, uint32_t lossPerMille, duration delay);

    /// Long-lived feeds: orders and boards, or documents.
    void feeds(duration at, work what, uint32_t count, duration over, duration until);
    /// Short flows, each with one request.
    void requests(duration at, work what, uint32_t count, duration over);
    /// Adds flows of another shape.
    void flows(duration at, work what, flow_burst burst);

    /// A change of configuration number `number`, which changes the idle timeout.
    void change(duration at, size_t control, std::string const& requestId, uint64_t base, uint32_t number);

private:
    bool isFlessenpost() const { return m_where == deployment::Flessenpost; }
    void add(duration at, trace_input::body_type body) { m_inputs.push_back({ at, std::move(body) }); }
    std::string configurationYaml(uint32_t idleSeconds) const;

    deployment m_where;
    trace_header m_header;
    std::vector<trace_input> m_inputs;
};

} // namespace bilberryyard
