#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Membership/server_announcement.h>
#include <Packet/relay_header.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberryyard {

/// Flows of one kind, in place of each of their packets.
struct flow_burst {
    service_id service;
    /// What the flows ask for, for example "order" or "hold"; outcomes are counted by kind.
    std::string kind;
    uint32_t count = 0;
    /// Time between the starts of two flows.
    duration spacing {};
    /// Requests of each flow, one after the other.
    uint32_t segments = 1;
    duration segmentInterval {};
    /// Segments of each answer; the caller acknowledges each of them.
    uint32_t answerParts = 1;
    /// The fabric delivers the first SYN and the first request a second time after this time; zero: never.
    duration duplicateAfter {};
    auto operator<=>(flow_burst const&) const = default;
};

/// A packet as it reached an entry host.
struct packet_input {
    host_id host;
    std::vector<uint8_t> packet;
    std::optional<relay_header> origin;
    auto operator<=>(packet_input const&) const = default;
};

/// An announcement as it reached an entry host.
struct announcement_input {
    host_id host;
    server_announcement announcement;
    auto operator<=>(announcement_input const&) const = default;
};

enum class server_event_kind : uint8_t {
    Start = 1,
    /// The server announces that it drains and ends when it has no flows left.
    Drain,
    /// The process ends without a word.
    Kill,
};

/// Change of a backend server that announces itself once a second while it runs.
struct server_event {
    uint32_t server = 0;
    server_event_kind kind = server_event_kind::Start;
    /// The following only count for Start.
    service_id service;
    zone_id zone;
    uint32_t slots = 1;
    uint32_t connectionLimit = 0;
    auto operator<=>(server_event const&) const = default;
};

enum class host_event_kind : uint8_t {
    Start = 1,
    /// Graceful stop.
    Stop,
    Kill,
    Suspend,
    Resume,
    /// Kill, and the data folder is lost.
    LoseDisk,
};

/// Change of an entry host or a control host.
struct host_event {
    host_id host;
    host_event_kind kind = host_event_kind::Start;
    auto operator<=>(host_event const&) const = default;
};

/// The listed zones are separated from the others; an empty list heals the partition.
struct partition_event {
    std::vector<zone_id> zones;
    auto operator<=>(partition_event const&) const = default;
};

/// Messages of one host to another are lost or delayed from now on; both zero ends it.
struct message_fault {
    host_id sender;
    host_id receiver;
    uint32_t lossPerMille = 0;
    duration delay {};
    auto operator<=>(message_fault const&) const = default;
};

/// An operator sends a change to a control host.
struct change_input {
    host_id host;
    std::string requestId;
    uint64_t baseRevision = 0;
    std::string author;
    std::string reason;
    /// The whole new configuration.
    std::string yaml;
    auto operator<=>(change_input const&) const = default;
};

/// A message of a peer as it reached an entry host.
struct peer_message_input {
    host_id host;
    /// Bytes of coordination_codec.
    std::string message;
    auto operator<=>(peer_message_input const&) const = default;
};

/// A configuration that a host put into force.
struct configuration_input {
    host_id host;
    uint64_t revision = 0;
    std::string yaml;
    auto operator<=>(configuration_input const&) const = default;
};

/// Inputs that a recorder could not take.
struct dropped_inputs {
    uint64_t count = 0;
    auto operator<=>(dropped_inputs const&) const = default;
};

/// One timed input of a trace.
struct trace_input {
    using body_type = std::variant<flow_burst, packet_input, announcement_input, server_event, host_event,
        partition_event, message_fault, change_input, peer_message_input, configuration_input, dropped_inputs>;

    /// Time since the start of the trace.
    duration time {};
    body_type body;
    auto operator<=>(trace_input const&) const = default;
};

} // namespace bilberryyard
