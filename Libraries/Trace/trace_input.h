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

/// Flows of one kind. The replay generates their packets.
struct flow_burst {
    service_id service;
    /// Kind of the requests, for example "order" or "hold". Outcomes are counted per kind.
    std::string kind;
    uint32_t count = 0;
    /// Time between the starts of two flows.
    duration spacing {};
    /// Requests of each flow; each is sent after the response to the previous one.
    uint32_t requestCount = 1;
    /// Time between a response and the next request or the FIN.
    duration requestInterval {};
    /// Segments of each response. The caller acknowledges each of them.
    uint32_t responseSegments = 1;
    /// Delay after which the fabric delivers a duplicate of the first SYN and of the first request; zero for no
    /// duplicates.
    duration duplicateAfter {};
    auto operator<=>(flow_burst const&) const = default;
};

/// Packet received by an entry host.
struct packet_input {
    host_id host;
    std::vector<uint8_t> packet;
    /// Relay header of a packet from another entry host.
    std::optional<relay_header> origin;
    auto operator<=>(packet_input const&) const = default;
};

/// Server announcement received by an entry host.
struct announcement_input {
    host_id host;
    server_announcement announcement;
    auto operator<=>(announcement_input const&) const = default;
};

enum class server_event_kind : uint8_t {
    Start = 1,
    /// The server announces that it is draining and stops when it has no flows left.
    Drain,
    /// The process ends without an announcement.
    Kill,
};

/// Start or stop of a backend server, which announces itself once a second while it runs.
struct server_event {
    uint32_t server = 0;
    server_event_kind kind = server_event_kind::Start;
    /// This and the following fields are only used for Start.
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
    /// The process is killed and the data folder is lost.
    LoseDisk,
};

/// Start, stop or suspension of an entry host or a control host.
struct host_event {
    host_id host;
    host_event_kind kind = host_event_kind::Start;
    auto operator<=>(host_event const&) const = default;
};

/// Partition between the listed zones and the other zones; an empty list ends the partition.
struct partition_event {
    std::vector<zone_id> zones;
    auto operator<=>(partition_event const&) const = default;
};

/// Loss or delay of the messages from one host to another, until the next fault for the same hosts. Zero loss and delay
/// end the fault.
struct message_fault {
    host_id sender;
    host_id receiver;
    uint32_t lossPerMille = 0;
    duration delay {};
    auto operator<=>(message_fault const&) const = default;
};

/// Configuration change that an operator sends to a control host.
struct change_input {
    host_id host;
    std::string requestId;
    uint64_t baseRevision = 0;
    std::string author;
    std::string reason;
    /// The full new configuration.
    std::string yaml;
    auto operator<=>(change_input const&) const = default;
};

/// Message from a peer received by an entry host.
struct peer_message_input {
    host_id host;
    /// Message as encoded by coordination_codec.
    std::string message;
    auto operator<=>(peer_message_input const&) const = default;
};

/// Configuration that an entry host applied.
struct configuration_input {
    host_id host;
    uint64_t revision = 0;
    std::string yaml;
    auto operator<=>(configuration_input const&) const = default;
};

/// Number of inputs that the recorder dropped because a ring was full.
struct dropped_inputs {
    uint64_t count = 0;
    auto operator<=>(dropped_inputs const&) const = default;
};

/// Input of a trace with its time.
struct trace_input {
    using body_type = std::variant<flow_burst, packet_input, announcement_input, server_event, host_event,
        partition_event, message_fault, change_input, peer_message_input, configuration_input, dropped_inputs>;

    /// Time since the start of the trace.
    duration time {};
    body_type body;
    auto operator<=>(trace_input const&) const = default;
};

} // namespace bilberryyard
