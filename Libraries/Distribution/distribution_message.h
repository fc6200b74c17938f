#pragma once

#include <Base/identifiers.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Request of a balancer to a control host for a configuration newer than haveRevision.
struct configuration_request {
    /// Hash of the deployment's name.
    uint32_t deployment = 0;
    host_id host;
    uint32_t incarnation = 0;
    uint64_t haveRevision = 0;
    std::string zone;
    /// Identifies the request; returned in the response.
    uint64_t sequence = 0;
    /// Synchronisation state of the balancer's tables.
    uint32_t state = 0;
    auto operator<=>(configuration_request const&) const = default;

    std::string encode() const;
    /// @return InvalidArgument when the bytes cannot be decoded.
    static absl::StatusOr<configuration_request> decode(std::string_view bytes);
};

/// Response of a control host to a configuration_request.
struct configuration_response {
    uint32_t deployment = 0;
    /// The sequence of the request.
    uint64_t sequence = 0;
    /// Latest revision that the control host has.
    uint64_t revision = 0;
    /// The configuration of that revision; empty when the balancer already has it.
    std::string yaml;
    /// The control host cannot tell whether a newer revision exists; the balancer should switch to another one.
    bool isStale = false;
    auto operator<=>(configuration_response const&) const = default;

    std::string encode() const;
    /// @return InvalidArgument when the bytes cannot be decoded.
    static absl::StatusOr<configuration_response> decode(std::string_view bytes);
};

} // namespace bilberryyard
