#include <Packet/ip_endpoint.h>

#include <Base/error_kind.h>
#include <charconv>

namespace bilberryyard {

namespace {

    absl::Status badEndpoint(std::string_view text)
    {
        return makeError(error_kind::InvalidArgument,
            "'" + std::string(text) + "' is not ADDRESS:PORT, for example 192.0.2.1:80 or [2001:db8::1]:80");
    }

} // namespace

absl::StatusOr<ip_endpoint> ip_endpoint::parse(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return badEndpoint(text);
    auto host = text.substr(0, colon);
    auto const port = text.substr(colon + 1);
    bool const isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string_view::npos)
        return badEndpoint(text);
    ip_endpoint result;
    auto const [end, error] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    auto const address = ip_address::parse(host);
    if (error != std::errc {} || end != port.data() + port.size() || !address.ok())
        return badEndpoint(text);
    result.address = *address;
    return result;
}

std::string ip_endpoint::toText() const
{
    auto const text = address.isIpv4() ? address.toText() : "[" + address.toText() + "]";
    return text + ":" + std::to_string(port);
}

} // namespace bilberryyard
