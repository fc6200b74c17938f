#include <ControlMessages/member_address.h>

#include <Base/error_kind.h>
#include <charconv>
#include <sstream>

namespace bilberryyard {

namespace {

    // A stream would accept "-1" for an unsigned integer and wrap it to the maximum.
    template <typename Number>
    bool parseNumber(std::string const& text, Number& value)
    {
        auto const* end = text.data() + text.size();
        auto const [position, error] = std::from_chars(text.data(), end, value);
        return error == std::errc() && position == end;
    }

} // namespace

std::string member_address::toText() const
{
    return std::to_string(host.value) + " " + peer.toText() + " " + distribution.toText() + " " + std::to_string(token);
}

absl::StatusOr<member_address> member_address::parse(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    member_address result;
    std::string host;
    std::string peer;
    std::string distribution;
    std::string token;
    std::string rest;
    if (!(stream >> host >> peer >> distribution >> token) || (stream >> rest) || !parseNumber(host, result.host.value)
        || !parseNumber(token, result.token))
        return makeError(error_kind::InvalidArgument,
            "'" + std::string(text) + "' is not a member address of the form HOST PEER DISTRIBUTION TOKEN");
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
