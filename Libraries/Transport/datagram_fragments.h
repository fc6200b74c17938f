#pragma once

#include <Base/monotonic_time.h>
#include <Packet/ip_endpoint.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// Largest datagram that is sent, including its header.
inline constexpr size_t maximumDatagramBytes = 8'192;
/// Larger messages are neither sent nor accepted. Leaves room for a replicated entry of 1 MB with its envelope.
inline constexpr size_t maximumMessageBytes = size_t { 2 } * 1024 * 1024;

/// Splits a message into datagrams with one fragment each.
/// @param messageId Must differ between messages of one sender that are reassembled at the same time.
/// @return The datagrams; none when the message is larger than maximumMessageBytes.
std::vector<std::string> splitIntoDatagrams(std::string_view message, uint32_t messageId);

/// Reassembles messages from datagrams that arrive in any order. Messages that stay incomplete are discarded.
class datagram_assembler {
public:
    /// @return The message that the datagram completes, if any.
    std::optional<std::string> add(ip_endpoint const& sender, std::string_view datagram, monotonic_time now);

    /// @return Number of datagrams that were refused because they are malformed or damaged.
    uint64_t refused() const { return m_refused; }

private:
    struct partial_message {
        std::vector<std::string> fragments;
        size_t missingCount = 0;
        monotonic_time firstReceivedAt;
    };

    std::map<std::pair<ip_endpoint, uint32_t>, partial_message> m_partialMessages;
    uint64_t m_refused = 0;
};

} // namespace bilberryyard
