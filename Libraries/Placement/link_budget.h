#pragma once

#include <Base/monotonic_time.h>
#include <Placement/caller_packet.h>
#include <map>
#include <optional>
#include <unordered_map>

namespace bilberryyard {

/// The link of a balancer's host, and what its callers do on it.
struct link_limits {
    /// 0 if unknown: there is no limit then.
    uint64_t bytesPerSecond = 0;
    /// Packets that a caller sends without an acknowledgement.
    uint32_t windowPackets = 16;
    /// Largest size of a packet with its header and prefix.
    uint32_t packetBytes = 1'244;
    /// After this time callers send a packet again that is still waiting.
    duration retransmissionInterval = std::chrono::milliseconds(200);
    /// A flow without a packet for longer has ended or moved: callers that wait repeat a packet sooner.
    duration flowTimeout = std::chrono::milliseconds(2'000);
    auto operator<=>(link_limits const&) const = default;
};

/// Decides which new flows with large requests a balancer's link has room for.
///
/// Each open flow may have a window of packets on the way. When the windows of all flows need longer on the link than
/// callers wait before they send a packet again, the link carries packets twice, its queue grows further, and the
/// packets of all other flows wait in it. So windows are admitted only up to what the link carries in that time. A
/// caller that is refused opens another flow, which may pass through a balancer that has room.
class link_budget {
public:
    explicit link_budget(link_limits const& limits);

    /// @return Whether the rate of the link is known.
    bool isLimited() const { return m_limits.bytesPerSecond > 0; }

    /// @return Whether a new flow with a large request has room. A caller address that has flows on the way gets no
    ///     more than it leaves free to others.
    bool admits(flow_endpoints const& flow, monotonic_time now);

    /// Records a handshake packet of a flow with a large request that is about to be forwarded.
    void recordHandshake(flow_endpoints const& flow, monotonic_time now);

    /// Records any other packet of such a flow.
    void recordPacket(caller_packet const& packet, monotonic_time now);

    /// Records bytes of any packet that has been received and forwarded.
    void recordTraffic(size_t bytes, monotonic_time now);

    /// Removes flows that have ended without a packet that says so.
    void sweep(monotonic_time now);

    /// @return Bytes that open flows with large requests may have on the way.
    uint64_t bytesOnTheWay() const { return m_bytesOnTheWay; }
    /// @return Bytes that may be on the way.
    uint64_t room() const;
    size_t flows() const { return m_flows.size(); }

private:
    struct bulk_flow {
        monotonic_time lastPacketAt;
        /// Sequence number of the first byte of the request; nullopt before it was seen.
        std::optional<uint32_t> firstSequence;
        uint32_t receivedBytes = 0;
        uint32_t acknowledgement = 0;
        uint32_t reservedBytes = 0;
        /// Whether the request has been seen from its first byte.
        bool isComplete = false;
    };
    using flow_map = std::unordered_map<flow_endpoints, bulk_flow>;

    uint32_t windowBytes() const { return m_limits.windowPackets * m_limits.packetBytes; }
    /// @return Bytes that a flow may have on the way until its response. Sizes vary, so a request that has sent as much
    ///     as usual may still have a full window to send.
    uint32_t usualReservation(ip_endpoint const& service) const;
    void reserve(flow_endpoints const& endpoints, bulk_flow& flow, uint32_t bytes);
    flow_map::iterator end(flow_map::iterator flow);

    link_limits m_limits;
    flow_map m_flows;
    uint64_t m_bytesOnTheWay = 0;
    std::map<ip_address, uint64_t> m_bytesOfCallers;
    /// Smoothed size of a request, by route.
    std::map<ip_endpoint, double> m_requestBytes;
    /// Smoothed rate of the packets of all other flows.
    double m_otherBytesPerSecond = 0;
    uint64_t m_otherBytes = 0;
    monotonic_time m_countedSince;
};

} // namespace bilberryyard
