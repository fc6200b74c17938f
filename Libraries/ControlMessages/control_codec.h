#pragma once

#include <ControlMessages/control_message.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Encodes and decodes messages between control hosts as protobuf.
class control_codec {
public:
    /// @param deployment Hash of the deployment's name. It is part of every message, and decode() refuses messages of
    /// other deployments.
    explicit control_codec(uint32_t deployment);

    std::string encode(control_message const& message) const;

    /// @return The message; InvalidArgument if the bytes are malformed or a value is out of range, DataLoss if an
    /// encoded cluster configuration cannot be decoded, FailedPrecondition for a message of another deployment.
    absl::StatusOr<control_message> decode(std::string_view bytes) const;

private:
    uint32_t m_deployment;
};

} // namespace bilberryyard
