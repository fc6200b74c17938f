#include "peer_channel.h"

#include <Base/error_kind.h>
#include <Base/event_logger.h>
#include <Fleet/fleet_codec.h>
#include <random>

namespace bilberryyard {

namespace {

    // A directory of 3,000 servers arrives as a burst of 40 datagrams. The kernel may grant a smaller buffer.
    constexpr int receiveBufferBytes = 1 << 20;

} // namespace

absl::StatusOr<peer_channel> peer_channel::create(ip_endpoint const& address)
{
    auto socket = datagram_socket::create(address, receiveBufferBytes);
    if (!socket.ok())
        return socket.status();
    return peer_channel(*std::move(socket));
}

peer_channel::peer_channel(datagram_socket socket)
    : m_socket(std::move(socket))
    , m_buffer(maximumDatagramBytes + 1)
    // A random first identifier, so that fragments sent before a restart are not assembled with new ones.
    , m_messageId(std::random_device()())
{
}

std::optional<peer_channel::received_message> peer_channel::receive(monotonic_time now, bool& isEmpty)
{
    datagram_socket::received datagram;
    isEmpty = !m_socket.receive(m_buffer, datagram);
    if (isEmpty)
        return std::nullopt;
    m_receivedBytes += datagram.size;
    auto const bytes
        = m_assembler.add(datagram.sender, { reinterpret_cast<char const*>(m_buffer.data()), datagram.size }, now);
    if (!bytes)
        return std::nullopt;
    auto message = decodeFleetMessage(*bytes);
    if (!message.ok()) {
        ++m_refused;
        logRefusal(datagram.sender, bytes->size(), message.status(), now);
        return std::nullopt;
    }
    return received_message { datagram.sender, *std::move(message) };
}

void peer_channel::logRefusal(ip_endpoint const& sender, size_t bytes, absl::Status const& status, monotonic_time now)
{
    if (!m_refusalLines.tryAcquire(now))
        return;
    event_logger { "peers" }.emit(events::peerMessageRefused,
        "from=" + sender.toText() + " bytes=" + std::to_string(bytes) + " refused=" + std::to_string(refused())
            + " reason=\"" + messageOf(status) + "\"");
}

void peer_channel::send(ip_endpoint const& receiver, fleet_message const& message)
{
    sendEncoded(receiver, encodeFleetMessage(message));
}

void peer_channel::sendEncoded(ip_endpoint const& receiver, std::string_view message)
{
    for (auto const& datagram : splitIntoDatagrams(message, ++m_messageId)) {
        if (m_socket.send(receiver, datagram))
            m_sentBytes += datagram.size();
    }
}

} // namespace bilberryyard
