#include <Packet/udp_packet_io.h>

#include <Base/error_kind.h>
#include <Packet/socket_address.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>
#include <vector>

namespace bilberryyard {

namespace {

    // UIO_MAXIOV, the kernel's limit for one recvmmsg or sendmmsg call.
    constexpr size_t maximumMessagesPerCall = 1024;

    absl::Status socketError(error_kind kind, std::string const& failure, ip_endpoint const& local)
    {
        return makeError(kind, failure + " for " + local.toText() + ": " + std::strerror(errno));
    }

    // Buffer for the drop counter that SO_RXQ_OVFL attaches to a message.
    struct alignas(cmsghdr) overflow_control {
        std::array<uint8_t, CMSG_SPACE(sizeof(uint32_t))> bytes;
    };

    // Returns the number of packets dropped since the socket was created, modulo 2^32.
    std::optional<uint32_t> dropCountOf(msghdr& message)
    {
        for (auto* control = CMSG_FIRSTHDR(&message); control; control = CMSG_NXTHDR(&message, control)) {
            if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SO_RXQ_OVFL)
                continue;
            uint32_t count = 0;
            std::memcpy(&count, CMSG_DATA(control), sizeof(count));
            return count;
        }
        return std::nullopt;
    }

    // The arguments of a recvmmsg or sendmmsg call, allocated once and reused.
    struct message_array {
        explicit message_array(size_t size)
            : headers(size)
            , vectors(size)
            , addresses(size)
        {
            for (size_t index = 0; index < size; ++index) {
                auto& header = headers[index].msg_hdr;
                header.msg_iov = &vectors[index];
                header.msg_iovlen = 1;
                header.msg_name = addresses[index].data();
            }
        }

        std::vector<mmsghdr> headers;
        std::vector<iovec> vectors;
        std::vector<socket_address> addresses;
    };

} // namespace

struct udp_packet_io::state {
    state(int openSocket, size_t messagesPerCall)
        : socket(openSocket)
        , incoming(messagesPerCall)
        , controlBuffers(messagesPerCall)
        , outgoing(messagesPerCall)
    {
    }
    state(state const&) = delete;
    state& operator=(state const&) = delete;
    ~state() { close(socket); }

    absl::Status configureAndBind(ip_endpoint const& address, udp_packet_io_settings const& settings);
    size_t receiveInto(packet_batch& batch, size_t count);
    size_t sendChunk(std::span<outgoing_packet const> packets);
    size_t sendPrepared(size_t first, size_t count);
    void recordDrops(msghdr& message);

    int socket;
    ip_endpoint local;
    int receiveBufferBytes = 0;
    message_array incoming;
    std::vector<overflow_control> controlBuffers;
    message_array outgoing;
    uint32_t lastDropCount = 0;
    packet_io_counters counters;
};

absl::Status udp_packet_io::state::configureAndBind(ip_endpoint const& address, udp_packet_io_settings const& settings)
{
    int const enabled = 1;
    socket_address name(address);
    // Without this option an IPv6 socket would also occupy the IPv4 port.
    if (name.family() == AF_INET6 && setsockopt(socket, IPPROTO_IPV6, IPV6_V6ONLY, &enabled, sizeof(enabled)) != 0)
        return socketError(error_kind::Internal, "cannot set IPV6_V6ONLY", address);
    if (setsockopt(socket, SOL_SOCKET, SO_RXQ_OVFL, &enabled, sizeof(enabled)) != 0)
        return socketError(error_kind::Internal, "cannot set SO_RXQ_OVFL", address);
    if (setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &settings.receiveBufferBytes, sizeof(int)) != 0)
        return socketError(error_kind::Internal, "cannot set SO_RCVBUF", address);
    if (setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &settings.sendBufferBytes, sizeof(int)) != 0)
        return socketError(error_kind::Internal, "cannot set SO_SNDBUF", address);
    socklen_t size = sizeof(receiveBufferBytes);
    if (getsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, &size) != 0)
        return socketError(error_kind::Internal, "cannot read SO_RCVBUF", address);
    if (bind(socket, name.data(), name.size()) != 0)
        return socketError(error_kind::Unavailable, "cannot bind a UDP socket", address);
    size = socket_address::capacity;
    if (getsockname(socket, name.data(), &size) != 0)
        return socketError(error_kind::Internal, "cannot read the bound address", address);
    local = name.toEndpoint();
    return absl::OkStatus();
}

void udp_packet_io::state::recordDrops(msghdr& message)
{
    auto const count = dropCountOf(message);
    if (!count)
        return;
    counters.kernelDrops += static_cast<uint32_t>(*count - lastDropCount);
    lastDropCount = *count;
}

size_t udp_packet_io::state::receiveInto(packet_batch& batch, size_t count)
{
    size_t const first = batch.size();
    for (size_t index = 0; index < count; ++index) {
        auto const space = batch.receiveBuffer(first + index);
        incoming.vectors[index] = { space.data(), space.size() };
        auto& header = incoming.headers[index].msg_hdr;
        header.msg_namelen = socket_address::capacity;
        header.msg_control = &controlBuffers[index];
        header.msg_controllen = sizeof(overflow_control);
        header.msg_flags = 0;
    }
    int const result = recvmmsg(socket, incoming.headers.data(), static_cast<unsigned>(count), MSG_DONTWAIT, nullptr);
    if (result < 0) {
        if (errno != EAGAIN && errno != EINTR)
            ++counters.receiveFailures;
        return 0;
    }
    auto const received = static_cast<size_t>(result);
    for (size_t index = 0; index < received; ++index) {
        auto const& message = incoming.headers[index];
        if ((message.msg_hdr.msg_flags & MSG_TRUNC) != 0)
            ++counters.oversizedPackets;
        counters.receivedBytes += message.msg_len;
        batch.append(message.msg_len, incoming.addresses[index].toEndpoint());
    }
    counters.receivedPackets += received;
    // The drop count increases monotonically along the queue, so the last message contains the latest value.
    if (received > 0)
        recordDrops(incoming.headers[received - 1].msg_hdr);
    return received;
}

size_t udp_packet_io::state::sendPrepared(size_t first, size_t count)
{
    while (true) {
        int const result
            = sendmmsg(socket, outgoing.headers.data() + first, static_cast<unsigned>(count), MSG_DONTWAIT);
        if (result >= 0)
            return static_cast<size_t>(result);
        if (errno != EINTR)
            return 0;
    }
}

size_t udp_packet_io::state::sendChunk(std::span<outgoing_packet const> packets)
{
    for (size_t index = 0; index < packets.size(); ++index) {
        auto const& packet = packets[index];
        outgoing.addresses[index] = socket_address(packet.destination);
        outgoing.headers[index].msg_hdr.msg_namelen = outgoing.addresses[index].size();
        // iovec has no const variant, but sendmmsg does not write to the bytes.
        outgoing.vectors[index] = { const_cast<uint8_t*>(packet.bytes.data()), packet.bytes.size() };
    }
    size_t sent = 0;
    size_t next = 0;
    while (next < packets.size()) {
        size_t const count = sendPrepared(next, packets.size() - next);
        if (count == 0) {
            // The first packet could not be sent. When the send buffer is full, neither can the others.
            size_t const lost = errno == EAGAIN ? packets.size() - next : 1;
            counters.sendFailures += lost;
            next += lost;
            continue;
        }
        for (size_t index = next; index < next + count; ++index)
            counters.sentBytes += packets[index].bytes.size();
        sent += count;
        next += count;
    }
    counters.sentPackets += sent;
    return sent;
}

absl::StatusOr<udp_packet_io> udp_packet_io::create(ip_endpoint const& local, udp_packet_io_settings const& settings)
{
    if (settings.messagesPerCall == 0 || settings.messagesPerCall > maximumMessagesPerCall)
        return makeError(error_kind::InvalidArgument,
            "messagesPerCall " + std::to_string(settings.messagesPerCall) + " is outside 1 to "
                + std::to_string(maximumMessagesPerCall));
    int const family = socket_address(local).family();
    int const socket = ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_UDP);
    if (socket < 0)
        return socketError(error_kind::ResourceExhausted, "cannot open a UDP socket", local);
    auto opened = std::make_unique<state>(socket, settings.messagesPerCall);
    if (auto const status = opened->configureAndBind(local, settings); !status.ok())
        return status;
    return udp_packet_io(std::move(opened));
}

udp_packet_io::udp_packet_io(std::unique_ptr<state> opened)
    : m_state(std::move(opened))
{
}

udp_packet_io::udp_packet_io(udp_packet_io&&) noexcept = default;
udp_packet_io& udp_packet_io::operator=(udp_packet_io&&) noexcept = default;
udp_packet_io::~udp_packet_io() = default;

ip_endpoint const& udp_packet_io::localEndpoint() const { return m_state->local; }

int udp_packet_io::receiveBufferBytes() const { return m_state->receiveBufferBytes; }

size_t udp_packet_io::receive(packet_batch& batch)
{
    batch.clear();
    while (batch.size() < batch.slotCount()) {
        size_t const count = std::min(batch.slotCount() - batch.size(), m_state->incoming.headers.size());
        if (m_state->receiveInto(batch, count) < count)
            break;
    }
    return batch.size();
}

size_t udp_packet_io::send(std::span<outgoing_packet const> packets)
{
    size_t sent = 0;
    while (!packets.empty()) {
        auto const chunk = packets.first(std::min(packets.size(), m_state->outgoing.headers.size()));
        sent += m_state->sendChunk(chunk);
        packets = packets.subspan(chunk.size());
    }
    return sent;
}

bool udp_packet_io::waitReadable(std::chrono::milliseconds timeout)
{
    pollfd entry { m_state->socket, POLLIN, 0 };
    return poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

bool udp_packet_io::waitAnyReadable(std::span<udp_packet_io* const> sockets, std::chrono::milliseconds timeout)
{
    std::vector<pollfd> entries;
    entries.reserve(sockets.size());
    for (auto const* socket : sockets)
        entries.push_back({ socket->m_state->socket, POLLIN, 0 });
    return poll(entries.data(), entries.size(), static_cast<int>(timeout.count())) > 0;
}

packet_io_counters udp_packet_io::counters() const { return m_state->counters; }

} // namespace bilberryyard
