#pragma once

#include <Coordination/coordination_message.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Encodes and decodes the messages between entry hosts as protobuf.
class coordination_codec {
public:
    /// @param deployment Hash of the deployment's name; decode() refuses messages of other deployments.
    explicit coordination_codec(uint32_t deployment);

    std::string encode(coordination_message const& message) const;

    /// @return InvalidArgument that describes why a message is invalid; FailedPrecondition for a message of another
    ///     deployment.
    absl::StatusOr<coordination_message> decode(std::string_view bytes) const;

private:
    uint32_t m_deployment;
};

} // namespace bilberryyard
