#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

enum class request_kind : uint8_t {
    /// A non-idempotent request that occupies a slot, for example an order or a seat hold.
    Order,
    /// A document of a given size.
    Document,
    /// A long-lived feed that sends an update at each interval until the caller closes the connection.
    Feed,
};

/// A request of the emulated application protocol: one line of text, "KIND ID SIZE INTERVAL\n".
struct emulated_request {
    request_kind kind = request_kind::Order;
    uint64_t id = 0;
    /// Payload size of the response in bytes, without the header line.
    uint32_t size = 0;
    /// Time between two updates of a feed.
    std::chrono::milliseconds interval { 0 };
    auto operator<=>(emulated_request const&) const = default;

    /// @return The request line, including the newline.
    std::string encode() const;

    /// Decodes a request line at the start of a buffer.
    /// @param buffer Received bytes; a complete line is removed from it, even if it is invalid.
    /// @return The request, or nothing if the line is incomplete or invalid.
    static std::optional<emulated_request> decode(std::string& buffer);
};

/// The header line of a response, "SERVICE SERVER ID SIZE\n"; the payload follows it.
struct response_header {
    std::string service;
    std::string server;
    uint64_t id = 0;
    uint32_t size = 0;
    auto operator<=>(response_header const&) const = default;

    std::string encode() const;
    static std::optional<response_header> decode(std::string& buffer);
};

/// Returns the payload of a response. It depends on the request, so that a response to another request is detected.
/// @param id Request id.
/// @param size Size in bytes.
std::string responsePayload(uint64_t id, uint32_t size);

/// Size of each update of a feed in bytes.
inline constexpr uint32_t feedUpdateSize = 32;

/// One update of a feed.
/// @param id Request id of the feed.
/// @param updateIndex Index of the update, from 0.
/// @return Exactly feedUpdateSize bytes.
std::string feedUpdate(uint64_t id, uint64_t updateIndex);

} // namespace bilberryyard
