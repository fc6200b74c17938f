#pragma once

#include <Base/identifiers.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// What a balancer asks a control host.
struct configuration_request {
    uint32_t deployment = 0;
    host_id host;
    uint32_t incarnation = 0;
    uint64_t haveRevision = 0;
    std::string zone;
    uint64_t sequence = 0;
    uint32_t state = 0;
    auto operator<=>(configuration_request const&) const = default;

    std::string encode() const;
    /// @return InvalidArgument for bytes that are no request.
    static absl::StatusOr<configuration_request> decode(std::string_view bytes);
};

/// A control host's answer.
struct configuration_response {
    uint32_t deployment = 0;
    uint64_t sequence = 0;
    uint64_t revision = 0;
    /// Empty when the balancer has the revision.
    std::string yaml;
    /// The control host does not know whether a newer revision exists; the balancer should ask another one.
    bool isStale = false;
    auto operator<=>(configuration_response const&) const = default;

    std::string encode() const;
    /// @return InvalidArgument for bytes that are no answer.
    static absl::StatusOr<configuration_response> decode(std::string_view bytes);
};

} // namespace bilberryyard
