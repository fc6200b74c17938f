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

/// Largest datagram that is sent, with its header.
inline constexpr size_t maximumDatagramBytes = 8'192;
/// Larger messages are refused on both sides: a replicated entry of 1 MB and its envelope.
inline constexpr size_t maximumMessageBytes = size_t { 2 } * 1024 * 1024;

/// Splits a message into datagrams.
/// @param message The message.
/// @param number Differs between the messages of a sender.
/// @return The datagrams; none when the message is too large.
std::vector<std::string> splitIntoDatagrams(std::string_view message, uint32_t number);

/// Puts messages together from datagrams that arrive in any order. A message that misses one is dropped.
class datagram_assembler {
public:
    /// @param sender Where the datagram came from.
    /// @param datagram The datagram.
    /// @param now The time.
    /// @return The message that it completes, if any.
    std::optional<std::string> add(ip_endpoint const& sender, std::string_view datagram, monotonic_time now);

    /// @return Datagrams that were not of this format.
    uint64_t refused() const { return m_refused; }

private:
    struct partial_message {
        std::vector<std::string> parts;
        size_t missing = 0;
        monotonic_time startedAt;
    };

    std::map<std::pair<ip_endpoint, uint32_t>, partial_message> m_partial;
    uint64_t m_refused = 0;
};

} // namespace bilberryyard
