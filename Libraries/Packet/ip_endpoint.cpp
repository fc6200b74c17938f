#include <Packet/ip_endpoint.h>

namespace bilberryyard {

std::string ip_endpoint::toText() const
{
    auto const text = address.isIpv4() ? address.toText() : "[" + address.toText() + "]";
    return text + ":" + std::to_string(port);
}

} // namespace bilberryyard
