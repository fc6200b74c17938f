#include <Transport/message_socket.h>

#include <Base/error_kind.h>
#include <zmq.hpp>

namespace bilberryyard {

namespace {

    // For each connection. Enough for more than a second of control messages; older ones are obsolete.
    constexpr int maximumQueuedMessages = 256;
    // In bytes. Limits the memory that an invalid message can occupy.
    constexpr int64_t maximumMessageSize = 16 << 20;

    std::string urlOf(ip_endpoint const& endpoint) { return "tcp://" + endpoint.toText(); }

} // namespace

struct message_socket::state {
    zmq::context_t context { 1 };
    zmq::socket_t receiver { context, zmq::socket_type::pull };
    struct connection {
        ip_endpoint address;
        zmq::socket_t socket;
    };
    std::map<host_id, connection> senders;
    uint64_t sentBytes = 0;
    uint64_t receivedBytes = 0;
};

absl::StatusOr<message_socket> message_socket::create(
    ip_endpoint const& local, std::map<host_id, ip_endpoint> const& receivers)
{
    try {
        auto opened = std::make_unique<state>();
        opened->receiver.set(zmq::sockopt::ipv6, !local.address.isIpv4());
        opened->receiver.set(zmq::sockopt::linger, 0);
        opened->receiver.set(zmq::sockopt::rcvhwm, maximumQueuedMessages);
        opened->receiver.set(zmq::sockopt::maxmsgsize, maximumMessageSize);
        opened->receiver.bind(urlOf(local));
        message_socket result(std::move(opened));
        for (auto const& [receiver, address] : receivers)
            result.setReceiver(receiver, address);
        return result;
    } catch (zmq::error_t const& error) {
        return makeError(error_kind::Unavailable, "cannot receive messages on " + local.toText() + ": " + error.what());
    }
}

message_socket::message_socket(std::unique_ptr<state> opened)
    : m_state(std::move(opened))
{
}

message_socket::message_socket(message_socket&&) noexcept = default;
message_socket& message_socket::operator=(message_socket&&) noexcept = default;
message_socket::~message_socket() = default;

void message_socket::setReceiver(host_id receiver, ip_endpoint const& address)
{
    auto const existing = m_state->senders.find(receiver);
    if (existing != m_state->senders.end() && existing->second.address == address)
        return;
    zmq::socket_t socket(m_state->context, zmq::socket_type::push);
    socket.set(zmq::sockopt::ipv6, !address.address.isIpv4());
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, maximumQueuedMessages);
    // Queues no messages while disconnected, so that a host that reconnects does not receive obsolete messages first.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, 50);
    socket.set(zmq::sockopt::reconnect_ivl_max, 500);
    socket.connect(urlOf(address));
    m_state->senders.erase(receiver);
    m_state->senders.emplace(receiver, state::connection { address, std::move(socket) });
}

bool message_socket::send(host_id receiver, std::string_view bytes)
{
    auto const sender = m_state->senders.find(receiver);
    if (sender == m_state->senders.end())
        return false;
    try {
        if (!sender->second.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
            return false;
    } catch (zmq::error_t const&) {
        return false;
    }
    m_state->sentBytes += bytes.size();
    return true;
}

std::optional<std::string> message_socket::receive(std::chrono::milliseconds timeout)
{
    try {
        zmq::pollitem_t item { m_state->receiver.handle(), 0, ZMQ_POLLIN, 0 };
        if (zmq::poll(&item, 1, timeout) == 0)
            return std::nullopt;
        zmq::message_t message;
        if (!m_state->receiver.recv(message, zmq::recv_flags::dontwait))
            return std::nullopt;
        m_state->receivedBytes += message.size();
        return message.to_string();
    } catch (zmq::error_t const&) {
        // A signal interrupted the wait. Callers receive again soon.
        return std::nullopt;
    }
}

uint64_t message_socket::sentBytes() const { return m_state->sentBytes; }
uint64_t message_socket::receivedBytes() const { return m_state->receivedBytes; }

} // namespace bilberryyard
