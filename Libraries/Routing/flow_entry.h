#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <chrono>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Progress of a flow, as far as this host has seen it.
enum class flow_state : uint8_t {
    /// Marks a free slot of the flow table.
    Free,
    /// A SYN was recorded and no later segment has been seen.
    Handshaking,
    /// A segment after the SYN has been seen; also the state of every datagram flow.
    Established,
    /// The caller sent FIN or RST.
    Closed,
};

/// Flags of a flow entry.
namespace flow_flags {
    /// The flow is of a datagram service.
    inline constexpr uint8_t datagram = 0x01;
    /// This host chose the server as the primary, so it sees all progress of the handshake.
    inline constexpr uint8_t chosenAsPrimary = 0x02;
    /// The flow was reassigned once after a SYN retransmission.
    inline constexpr uint8_t retried = 0x04;
    /// The caller sent RST, so no further packets of the flow are expected.
    inline constexpr uint8_t reset = 0x08;
    /// The change to established must be shared with the other witnesses again, in case the first record was lost.
    inline constexpr uint8_t resharePending = 0x10;
} // namespace flow_flags

/// Monotonic time in milliseconds modulo 2^32; only differences of less than 24 days are meaningful.
using flow_tick = uint32_t;

constexpr flow_tick tickOf(monotonic_time time)
{
    return static_cast<flow_tick>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

/// @return The time from the earlier to the later tick; zero when they are in reverse order.
constexpr std::chrono::milliseconds elapsed(flow_tick earlier, flow_tick later)
{
    auto const difference = static_cast<int32_t>(later - earlier);
    return std::chrono::milliseconds(difference < 0 ? 0 : difference);
}

/// Identifies a flow in the table. Contains the low 16 bits of the service, so that a hash collision cannot lead
/// to a server of another service.
struct flow_id {
    uint64_t hash = 0;
    uint16_t service = 0;
    auto operator<=>(flow_id const&) const = default;
};

/// The explicit entry of one flow. 24 bytes, so that 500,000 flows fit into about 16 MB.
struct flow_entry {
    uint64_t hash = 0;
    server_id server = noServer;
    /// Time of the last update that was shared with the other witnesses (see flow_router::recordProgress).
    flow_tick lastSeen = 0;
    /// Last acknowledgement number that the caller sent.
    uint32_t acknowledgement = 0;
    uint16_t service = 0;
    flow_state state = flow_state::Free;
    uint8_t flags = 0;

    flow_id id() const { return { hash, service }; }
    bool has(uint8_t flag) const { return (flags & flag) != 0; }
    auto operator<=>(flow_entry const&) const = default;
};

static_assert(sizeof(flow_entry) == 24);

/// Idle timeouts after which entries expire, by state of the flow.
struct flow_timeouts {
    std::chrono::milliseconds established { 900'000 };
    std::chrono::milliseconds datagram { 30'000 };
    /// A server resends its SYN-ACK for 63 s on a stock Linux kernel.
    std::chrono::milliseconds handshaking { 120'000 };
    /// The server may still be sending after the caller's FIN; the caller's acknowledgements renew the entry.
    std::chrono::milliseconds closed { 120'000 };
    std::chrono::milliseconds reset { 5'000 };

    /// @param entry An entry in use.
    /// @return The timeout that applies to the entry.
    std::chrono::milliseconds of(flow_entry const& entry) const
    {
        if (entry.has(flow_flags::datagram))
            return datagram;
        if (entry.state == flow_state::Established)
            return established;
        if (entry.state == flow_state::Handshaking)
            return handshaking;
        return entry.has(flow_flags::reset) ? reset : closed;
    }

    /// Packets renew lastSeen only after a quarter of the timeout, so an entry expires after 5/4 of the timeout.
    /// @param entry An entry in use.
    /// @return Whether the flow has been idle for its full timeout.
    bool isExpired(flow_entry const& entry, flow_tick now) const
    {
        return elapsed(entry.lastSeen, now) * 4 > of(entry) * 5;
    }

    auto operator<=>(flow_timeouts const&) const = default;
};

} // namespace bilberryyard
