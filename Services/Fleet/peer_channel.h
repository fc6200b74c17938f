#pragma once

#include <Fleet/fleet_message.h>
#include <Transport/datagram_fragments.h>
#include <Transport/datagram_socket.h>
#include <absl/status/statusor.h>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Sends and receives messages between daemons in datagrams: a connection may fall silent for good without an error,
/// and every message here is repeated or replaced by a later one anyway.
class peer_channel {
public:
    /// @param address Where to receive.
    /// @return The channel, or the error of the socket.
    static absl::StatusOr<peer_channel> create(ip_endpoint const& address);

    struct received_message {
        ip_endpoint sender;
        fleet_message message;
    };

    /// @param now The time.
    /// @param[out] isEmpty Whether the socket had no further datagram.
    /// @return A message that is complete now, if any.
    std::optional<received_message> receive(monotonic_time now, bool& isEmpty);

    /// @param receiver Where to send.
    /// @param message The message.
    void send(ip_endpoint const& receiver, fleet_message const& message);
    /// Sends an encoded message, to spare encoding it for each of many receivers.
    void sendEncoded(ip_endpoint const& receiver, std::string_view message);

    int descriptor() const { return m_socket.descriptor(); }
    uint64_t sentBytes() const { return m_sentBytes; }
    uint64_t receivedBytes() const { return m_receivedBytes; }
    /// @return Datagrams and messages that could not be read.
    uint64_t refused() const { return m_refused + m_assembler.refused(); }

private:
    explicit peer_channel(datagram_socket socket);

    datagram_socket m_socket;
    datagram_assembler m_assembler;
    std::vector<uint8_t> m_buffer;
    uint32_t m_number;
    uint64_t m_sentBytes = 0;
    uint64_t m_receivedBytes = 0;
    uint64_t m_refused = 0;
};

} // namespace bilberryyard
