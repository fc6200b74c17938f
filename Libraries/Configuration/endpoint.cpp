#include <Configuration/endpoint.h>

#include <Base/error_kind.h>
#include <charconv>

namespace bilberryyard {

absl::StatusOr<endpoint> endpoint::parse(std::string_view text)
{
    auto const invalid = makeError(error_kind::InvalidArgument,
        "'" + std::string(text.substr(0, 64))
            + "' is no address and port, such as 192.0.2.1:6080 or [2001:db8::1]:6080");
    size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid;
    std::string_view host = text.substr(0, colon);
    std::string_view const portText = text.substr(colon + 1);
    bool const bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    auto const parsed = ip_address::parse(host);
    uint16_t port = 0;
    auto const [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (!parsed.ok() || bracketed != (host.find(':') != std::string_view::npos) || error != std::errc()
        || end != portText.data() + portText.size() || port == 0)
        return invalid;
    return endpoint { *parsed, port };
}

std::string endpoint::toText() const
{
    std::string const host = address.isIpv4() ? address.toText() : "[" + address.toText() + "]";
    return host + ":" + std::to_string(port);
}

} // namespace bilberryyard
