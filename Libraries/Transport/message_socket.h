#pragma once

#include <Base/identifiers.h>
#include <Packet/ip_endpoint.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Exchanges messages between hosts of the system over ZeroMQ, with one PULL socket for all senders and one PUSH socket
/// for each receiver. Messages to an unreachable receiver are dropped, and so are messages that exceed the queue; the
/// protocols above retransmit what is needed. Not thread-safe.
class message_socket {
public:
    /// @param local Address and port to receive messages on.
    /// @param receivers Addresses of the other hosts.
    /// @return The socket; Unavailable when the address cannot be bound.
    static absl::StatusOr<message_socket> create(
        ip_endpoint const& local, std::map<host_id, ip_endpoint> const& receivers);

    message_socket(message_socket&&) noexcept;
    message_socket& operator=(message_socket&&) noexcept;
    ~message_socket();

    /// Connects to another receiver, or reconnects to a known one whose address has changed.
    void setReceiver(host_id receiver, ip_endpoint const& address);

    /// @return Whether the message was queued. False for an unknown or unreachable receiver and for a full queue.
    bool send(host_id receiver, std::string_view bytes);

    /// @param timeout Maximum time to wait for a message.
    /// @return The next message, or nothing after the timeout or an interruption by a signal.
    std::optional<std::string> receive(std::chrono::milliseconds timeout);

    /// @return Bytes sent or received so far, without transport headers.
    uint64_t sentBytes() const;
    uint64_t receivedBytes() const;

private:
    struct state;
    explicit message_socket(std::unique_ptr<state> opened);
    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
