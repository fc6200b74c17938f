#include <OperatorInterface/flow_text.h>

#include <Base/error_kind.h>
#include <Configuration/endpoint.h>
#include <sstream>
#include <string>

namespace bilberryyard {

absl::StatusOr<flow_key> parseFlow(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    std::string protocol;
    std::string source;
    std::string arrow;
    std::string destination;
    std::string rest;
    stream >> protocol >> source >> arrow >> destination;
    bool const complete = !stream.fail() && arrow == "->" && !(stream >> rest);
    if (!complete || (protocol != "tcp" && protocol != "udp"))
        return makeError(error_kind::InvalidArgument,
            "'" + std::string(text.substr(0, 128))
                + "' is no flow; expected for example 'tcp 192.0.2.1:4000 -> 198.51.100.1:80'");
    auto const from = endpoint::parse(source);
    if (!from.ok())
        return from.status();
    auto const to = endpoint::parse(destination);
    if (!to.ok())
        return to.status();
    if (from->address.isIpv4() != to->address.isIpv4())
        return makeError(
            error_kind::InvalidArgument, "the source and destination of a flow must be of the same address family");
    return flow_key { from->address, to->address, from->port, to->port,
        protocol == "tcp" ? ip_protocol::Tcp : ip_protocol::Udp };
}

} // namespace bilberryyard
