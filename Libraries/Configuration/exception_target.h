#pragma once

#include <Configuration/endpoint.h>
#include <absl/status/statusor.h>
#include <compare>
#include <string>
#include <string_view>

namespace bilberryyard {

enum class exception_target_kind {
    Service,
    Server,
};

/// What an exception applies to: a service, or one backend server.
struct exception_target {
    exception_target_kind kind = exception_target_kind::Service;
    /// Name of the service; empty for a server.
    std::string service;
    /// Registered address and port of the server; unused for a service.
    endpoint server;
    auto operator<=>(exception_target const&) const = default;

    /// @param text "service/NAME", "server/192.0.2.1:6080" or "server/[2001:db8::1]:6080".
    /// @return The target; InvalidArgument for malformed text.
    static absl::StatusOr<exception_target> parse(std::string_view text);

    /// @return Text that parse() accepts.
    std::string toText() const;
};

} // namespace bilberryyard
