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

/// Sends and receives messages between hosts of the system over ZeroMQ: one PULL socket for all senders and
/// one PUSH socket for each receiver. Messages to a receiver that cannot be reached are dropped once the
/// queue is full; the protocols above repeat what matters. Used by one thread.
class message_socket {
public:
    /// @param local Where to receive.
    /// @param receivers The other hosts.
    /// @return The socket; Unavailable when the address cannot be bound.
    static absl::StatusOr<message_socket> create(
        ip_endpoint const& local, std::map<host_id, ip_endpoint> const& receivers);

    message_socket(message_socket&&) noexcept;
    message_socket& operator=(message_socket&&) noexcept;
    ~message_socket();

    /// Connects to another receiver, or to a new address of a known one.
    void setReceiver(host_id receiver, ip_endpoint const& address);

    /// @param receiver A known host.
    /// @param bytes The message.
    /// @return Whether the message was queued.
    bool send(host_id receiver, std::string_view bytes);

    /// @param timeout Longest time to wait.
    /// @return The next message, or nothing.
    std::optional<std::string> receive(std::chrono::milliseconds timeout);

    /// @return Bytes sent and received so far, without transport headers.
    uint64_t sentBytes() const;
    uint64_t receivedBytes() const;

private:
    struct state;
    explicit message_socket(std::unique_ptr<state> opened);
    std::unique_ptr<state> m_state;
};

} // namespace bilberryyard
