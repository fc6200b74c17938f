#pragma once

#include <ControlMessages/control_message.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Encodes and decodes messages between control hosts with protobuf.
class control_codec {
public:
    /// @param deployment Hash of the deployment's name; messages of another deployment are refused.
    explicit control_codec(uint32_t deployment);

    /// @param message The message.
    /// @return Its bytes.
    std::string encode(control_message const& message) const;

    /// @param bytes Received bytes.
    /// @return The message; InvalidArgument that names the violated rule, and FailedPrecondition for a message of
    /// another deployment.
    absl::StatusOr<control_message> decode(std::string_view bytes) const;

private:
    uint32_t m_deployment;
};

} // namespace bilberryyard
