#pragma once

#include <Base/line_budget.h>
#include <Fleet/fleet_message.h>
#include <Transport/datagram_fragments.h>
#include <Transport/datagram_socket.h>
#include <absl/status/statusor.h>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Sends and receives messages between daemons in UDP datagrams. A TCP connection may stop delivering without an error,
/// and each message is repeated or superseded by a later one, so retransmission is not needed.
class peer_channel {
public:
    /// @param address Local address to bind.
    /// @return The channel, or the error of the socket.
    static absl::StatusOr<peer_channel> create(ip_endpoint const& address);

    struct received_message {
        ip_endpoint sender;
        fleet_message message;
    };

    /// Reads one datagram.
    /// @param[out] isEmpty Set to whether the socket had no datagram left.
    /// @return The message that the datagram completed, if any.
    std::optional<received_message> receive(monotonic_time now, bool& isEmpty);

    void send(ip_endpoint const& receiver, fleet_message const& message);
    /// Sends an encoded message, so that a message to many receivers is encoded once.
    void sendEncoded(ip_endpoint const& receiver, std::string_view message);

    int descriptor() const { return m_socket.descriptor(); }
    uint64_t sentBytes() const { return m_sentBytes; }
    uint64_t receivedBytes() const { return m_receivedBytes; }
    /// @return Number of datagrams and messages that could not be decoded.
    uint64_t refused() const { return m_refused + m_assembler.refused(); }

private:
    /// A message that a receiver refuses is requested again, so each one may be logged many times.
    static constexpr uint32_t refusalLinesPerSecond = 5;

    explicit peer_channel(datagram_socket socket);
    void logRefusal(ip_endpoint const& sender, size_t bytes, absl::Status const& status, monotonic_time now);

    line_budget m_refusalLines { refusalLinesPerSecond };
    datagram_socket m_socket;
    datagram_assembler m_assembler;
    std::vector<uint8_t> m_buffer;
    uint32_t m_messageId;
    uint64_t m_sentBytes = 0;
    uint64_t m_receivedBytes = 0;
    uint64_t m_refused = 0;
};

} // namespace bilberryyard
