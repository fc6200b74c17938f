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
    /// A long-lived feed that sends an update at each interval until the caller closes.
    Feed,
};

/// A request of the emulated application protocol: one line of text, "KIND ID SIZE INTERVAL\n".
struct emulated_request {
    request_kind kind = request_kind::Order;
    uint64_t id = 0;
    /// Payload bytes of the answer, without the header line.
    uint32_t size = 0;
    /// Time between two updates of a feed.
    std::chrono::milliseconds interval { 0 };
    auto operator<=>(emulated_request const&) const = default;

    /// @return The line to send.
    std::string encode() const;

    /// Takes a complete request line from the start of a buffer.
    /// @param buffer Received bytes; the line is removed from it.
    /// @return The request, or nothing when no complete valid line is there.
    static std::optional<emulated_request> take(std::string& buffer);
};

/// The header line of an answer, "SERVICE SERVER ID SIZE\n", which the payload follows.
struct answer_header {
    std::string service;
    std::string server;
    uint64_t id = 0;
    uint32_t size = 0;
    auto operator<=>(answer_header const&) const = default;

    std::string encode() const;
    static std::optional<answer_header> take(std::string& buffer);
};

/// The payload of an answer, which depends on the request so that a mix-up is noticed.
/// @param id Request id.
/// @param size Bytes.
std::string answerPayload(uint64_t id, uint32_t size);

/// Length of each update of a feed, in bytes.
inline constexpr uint32_t feedUpdateSize = 32;

/// One update of a feed.
/// @param id Request id of the feed.
/// @param number Number of the update from 0.
/// @return Exactly feedUpdateSize bytes.
std::string feedUpdate(uint64_t id, uint64_t number);

} // namespace bilberryyard
