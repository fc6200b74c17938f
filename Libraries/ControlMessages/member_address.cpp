#include <ControlMessages/member_address.h>

#include <Base/error_kind.h>
#include <sstream>

namespace bilberryyard {

std::string member_address::toText() const
{
    return std::to_string(host.value) + " " + peer.toText() + " " + distribution.toText() + " " + std::to_string(token);
}

absl::StatusOr<member_address> member_address::parse(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    member_address result;
    std::string peer;
    std::string distribution;
    if (!(stream >> result.host.value >> peer >> distribution >> result.token))
        return makeError(error_kind::InvalidArgument, "'" + std::string(text) + "' is not the address of a member");
    auto const peerEndpoint = endpoint::parse(peer);
    if (!peerEndpoint.ok())
        return peerEndpoint.status();
    auto const distributionEndpoint = endpoint::parse(distribution);
    if (!distributionEndpoint.ok())
        return distributionEndpoint.status();
    result.peer = *peerEndpoint;
    result.distribution = *distributionEndpoint;
    return result;
}

} // namespace bilberryyard
