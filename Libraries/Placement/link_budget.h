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
    /// A packet may wait for the shortest target latency divided by this: the handshake and the request of a new flow
    /// wait one after the other, and as much is left for the server.
    int targetLatencyParts = 3;
    /// A route without a packet for longer does not count.
    duration routeTimeout = std::chrono::seconds(10);
    /// A flow without a packet for longer has ended or moved: callers that wait repeat a packet sooner.
    duration flowTimeout = std::chrono::milliseconds(2'000);
    auto operator<=>(link_limits const&) const = default;
};

/// Decides which new flows with large requests a balancer's link has room for.
///
/// Each open flow may have a window of packets on the way. When the windows of all flows need longer on the link than
/// callers wait before they send a packet again, the link carries packets twice, its queue grows further, and the
/// packets of all other flows wait in it. So windows are admitted only up to what the link carries in that time, or in
/// the time that leaves other routes within their target latencies. A caller that is refused opens another flow, which
/// may pass through a balancer that has room.
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

    /// Records a packet of any other flow.
    /// @param targetLatency Of the flow's route; zero if it has none.
    void recordTraffic(size_t bytes, duration targetLatency, monotonic_time now);

    /// Removes flows that have ended without a packet that says so.
    void sweep(monotonic_time now);

    /// @return Bytes that open flows with large requests may have on the way.
    uint64_t bytesOnTheWay() const { return m_bytesOnTheWay; }
    /// @return Bytes that may be on the way.
    uint64_t room() const;
    /// @return Time that a packet may wait on the link.
    duration maximumWait() const;
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
    /// When a packet of a route with this target latency was last received.
    std::map<duration, monotonic_time> m_targetLatencies;
    /// Smoothed size of a request, by route.
    std::map<ip_endpoint, double> m_requestBytes;
    /// Smoothed rate of the packets of all other flows.
    double m_otherBytesPerSecond = 0;
    uint64_t m_otherBytes = 0;
    monotonic_time m_countedSince;
};

} // namespace bilberryyard
