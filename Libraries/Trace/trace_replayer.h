#pragma once

#include <Base/error_kind.h>
#include <Coordination/coordinated_configuration_builder.h>
#include <CoordinationCodec/coordination_codec.h>
#include <Trace/replay_balancer.h>
#include <Trace/replay_control_plane.h>
#include <Trace/replay_servers.h>
#include <Trace/trace_change.h>
#include <Trace/trace_reader.h>
#include <memory>

namespace bilberryyard {

/// Replays a trace through the decision code of all hosts of its deployment in simulated time. Deterministic: the same
/// trace and options give the same outcome.
/// @tparam Router Forwarding policy, such as flow_router or a baseline.
template <packet_router Router>
class trace_replayer {
public:
    /// @return The outcome, or the error of the reader or of an input that does not fit the header.
    static absl::StatusOr<replay_outcome> replay(trace_reader& reader, replay_options const& options)
    {
        trace_replayer replayer(reader.header(), options);
        if (auto status = replayer.start(); !status.ok())
            return status;
        while (true) {
            auto input = reader.next();
            if (!input.ok())
                return input.status();
            if (!*input)
                break;
            replayer.m_network.queue().runUntil(replay_queue::start + (*input)->time);
            auto status = std::visit([&](auto const& body) { return replayer.apply(body); }, (*input)->body);
            if (!status.ok())
                return status;
        }
        replayer.finish();
        return replayer.m_network.outcome();
    }

private:
    static constexpr std::chrono::milliseconds stepInterval { 20 };
    static constexpr std::chrono::milliseconds sampleInterval { 500 };
    // Time until the fabric reacts to a change of readiness.
    static constexpr std::chrono::milliseconds readinessDelay { 1000 };

    trace_replayer(trace_header const& header, replay_options const& options)
        : m_network(header, options)
        , m_callers(m_network, [this](uint32_t flow, parsed_packet const& packet) { sendToRandomHost(flow, packet); })
        , m_servers(
              m_network, m_callers, [this](server_announcement const& announcement) { return announce(announcement); })
    {
        m_outputs.message = [this](trace_host sender, outgoing_message const& message) { send(sender, message); };
        m_outputs.relay = [this](trace_host sender, relay_to_host const& action, parsed_packet const& packet) {
            relay(sender, action, packet);
        };
        m_outputs.forward = [this](trace_host sender, ip_endpoint const& server, parsed_packet const& packet) {
            m_servers.receive(sender.zone, server, packet);
        };
        m_outputs.reject = [this](parsed_packet const& packet, rejection_kind kind) { reject(packet, kind); };
    }

    absl::Status start()
    {
        std::vector<configuration_receiver> receivers;
        for (auto const& entry : m_network.header().entryHosts) {
            m_hosts.push_back(std::make_unique<replay_balancer<Router>>(entry, m_network, m_outputs));
            auto* host = m_hosts.back().get();
            receivers.push_back({ entry, [host] { return host->isActive(); }, [host] { return host->revision(); },
                [this, host](uint64_t revision, coordinated_configuration configuration) {
                    if (!host->configure(revision, std::move(configuration)))
                        ++m_network.outcome().refusedInputs;
                },
                [host](std::function<void()> event) { host->deliver(std::move(event)); } });
        }
        auto control = replay_control_plane::create(m_network, std::move(receivers));
        if (!control.ok())
            return control.status();
        m_control = *std::move(control);
        for (auto const& service : m_control->initialConfiguration().services) {
            m_serviceNames[service.id] = service.name;
            m_endpoints[service.id] = { service.addresses.front(), service.port, service.protocol, service.id };
        }
        for (auto const& host : m_hosts) {
            host->configure(1, m_control->initialConfiguration());
            if (auto status = host->start(); !status.ok())
                return status;
        }
        updateReadyHosts();
        step();
        sampleImbalance();
        return absl::OkStatus();
    }

    void finish()
    {
        m_network.queue().runUntil(replay_queue::start + m_network.header().length);
        m_callers.finish();
        m_servers.finish();
        m_control->finish();
    }

    replay_balancer<Router>* hostOf(host_id id)
    {
        auto const found
            = std::find_if(m_hosts.begin(), m_hosts.end(), [id](auto const& host) { return host->host().id == id; });
        return found == m_hosts.end() ? nullptr : found->get();
    }

    void step()
    {
        for (auto const& host : m_hosts) {
            if (host->isActive())
                host->step();
            if (host->mayStop())
                host->kill();
        }
        m_network.queue().add(m_network.now() + stepInterval, [this] { step(); });
    }

    void sampleImbalance()
    {
        m_servers.sampleImbalance(m_serviceNames);
        m_network.queue().add(m_network.now() + sampleInterval, [this] { sampleImbalance(); });
    }

    /// Updates the hosts to which the fabric sends packets. A suspended host is removed once its readiness checks time
    /// out. The previous list is kept when no host is ready.
    void updateReadyHosts()
    {
        std::vector<size_t> ready;
        for (size_t index = 0; index < m_hosts.size(); ++index) {
            if (m_hosts[index]->isReady())
                ready.push_back(index);
        }
        if (!ready.empty())
            m_readyHosts = std::move(ready);
        m_network.queue().add(m_network.now() + readinessDelay, [this] { updateReadyHosts(); });
    }

    void sendToRandomHost(uint32_t, parsed_packet const& packet)
    {
        auto* host = m_hosts[m_readyHosts[m_network.random(4) % m_readyHosts.size()]].get();
        m_network.queue().add(m_network.now() + m_network.header().callerDelay,
            [host, packet] { host->deliver([host, packet] { host->route(packet, std::nullopt); }); });
    }

    void relay(trace_host sender, relay_to_host const& action, parsed_packet const& packet)
    {
        auto* receiver = hostOf(action.host);
        if (!receiver || !m_network.connects(sender.zone, receiver->host().zone))
            return;
        m_network.queue().add(m_network.now() + m_network.delayBetween(sender.zone, receiver->host().zone),
            [receiver, packet, header = action.header] {
                receiver->deliver([receiver, packet, header] { receiver->route(packet, header); });
            });
    }

    void send(trace_host sender, outgoing_message const& message)
    {
        auto* receiver = hostOf(message.receiver);
        if (!receiver)
            return;
        m_network.send(sender, receiver->host(), [receiver, message = message.message] {
            receiver->deliver([receiver, message] { receiver->receive(message); });
        });
    }

    void reject(parsed_packet const& packet, rejection_kind kind)
    {
        auto const flow = m_callers.flowOf(packet.key);
        if (!flow)
            return;
        auto const event
            = kind == rejection_kind::ConnectionRefused ? caller_event::Refused : caller_event::ResetByBalancer;
        m_network.queue().add(m_network.now() + m_network.header().callerDelay,
            [this, flow = *flow, event] { m_callers.receive(flow, event); });
    }

    /// Sends a server's announcement to the entry hosts in turn, starting with one at random, until one accepts it.
    bool announce(server_announcement const& announcement)
    {
        auto const first = m_network.random(5);
        for (size_t attempt = 0; attempt < m_hosts.size(); ++attempt) {
            auto& host = *m_hosts[(first + attempt) % m_hosts.size()];
            if (!host.isActive() || !m_network.connects(announcement.zone, host.host().zone))
                continue;
            if (host.announce(announcement).ok())
                return true;
        }
        return false;
    }

    absl::Status apply(flow_burst const& burst)
    {
        auto const endpoint = m_endpoints.find(burst.service);
        if (endpoint == m_endpoints.end())
            return makeError(
                error_kind::NotFound, "flow burst for unknown service " + std::to_string(burst.service.value));
        m_callers.add(burst, endpoint->second);
        return absl::OkStatus();
    }

    absl::Status apply(packet_input const& input)
    {
        auto const parsed = parsePacket(input.packet);
        return withHost(input.host, [&](replay_balancer<Router>& host) {
            if (auto const* packet = std::get_if<parsed_packet>(&parsed))
                host.route(*packet, input.origin);
            else
                ++m_network.outcome().droppedPackets;
            return absl::OkStatus();
        });
    }

    absl::Status apply(announcement_input const& input)
    {
        return withHost(input.host, [&](replay_balancer<Router>& host) {
            m_network.outcome().refusedInputs += host.announce(input.announcement).ok() ? 0 : 1;
            return absl::OkStatus();
        });
    }

    absl::Status apply(server_event const& event) { return m_servers.apply(event); }

    absl::Status apply(host_event const& event)
    {
        auto const isControl = m_control->apply(event);
        if (!isControl.ok())
            return isControl.status();
        if (*isControl)
            return absl::OkStatus();
        auto* host = hostOf(event.host);
        if (!host)
            return makeError(error_kind::NotFound, "host event for unknown host " + std::to_string(event.host.value));
        switch (event.kind) {
        case host_event_kind::Start:
            return host->start();
        case host_event_kind::Stop:
            host->leave();
            break;
        case host_event_kind::Kill:
        case host_event_kind::LoseDisk:
            host->kill();
            break;
        case host_event_kind::Suspend:
            host->suspend();
            break;
        case host_event_kind::Resume:
            host->resume();
            break;
        }
        return absl::OkStatus();
    }

    absl::Status apply(partition_event const& event)
    {
        m_network.setPartition(event);
        return absl::OkStatus();
    }

    absl::Status apply(message_fault const& fault)
    {
        m_network.setFault(fault);
        return absl::OkStatus();
    }

    absl::Status apply(change_input const& change)
    {
        m_control->submit(change);
        return absl::OkStatus();
    }

    absl::Status apply(peer_message_input const& input)
    {
        auto const message = coordination_codec(0).decode(input.message);
        return withHost(input.host, [&](replay_balancer<Router>& host) {
            if (message.ok())
                host.receive(*message);
            else
                ++m_network.outcome().refusedInputs;
            return absl::OkStatus();
        });
    }

    absl::Status apply(configuration_input const& input)
    {
        configuration_state_machine state;
        auto change = readReplaceChange(input.yaml);
        if (!change.ok())
            return change.status();
        configuration_command const command { "recorded", 0, "recorder", "recorded", {}, *std::move(change) };
        if (auto status = state.apply(command.encode()).toStatus(); !status.ok())
            return status;
        return withHost(input.host, [&](replay_balancer<Router>& host) {
            bool const isAccepted
                = host.configure(input.revision, coordinatedConfigurationOf(input.revision, *state.current().value));
            m_network.outcome().refusedInputs += isAccepted ? 0 : 1;
            return absl::OkStatus();
        });
    }

    absl::Status apply(dropped_inputs const& drops)
    {
        m_network.outcome().droppedInputs += drops.count;
        return absl::OkStatus();
    }

    template <typename Function>
    absl::Status withHost(host_id id, Function const& function)
    {
        auto* host = hostOf(id);
        if (!host)
            return makeError(error_kind::NotFound, "input for unknown host " + std::to_string(id.value));
        return host->isActive() ? function(*host) : absl::OkStatus();
    }

    replay_network m_network;
    typename replay_balancer<Router>::outputs m_outputs;
    replay_callers m_callers;
    replay_servers m_servers;
    std::vector<std::unique_ptr<replay_balancer<Router>>> m_hosts;
    std::unique_ptr<replay_control_plane> m_control;
    std::map<service_id, std::string> m_serviceNames;
    std::map<service_id, service_endpoint> m_endpoints;
    std::vector<size_t> m_readyHosts;
};

} // namespace bilberryyard
