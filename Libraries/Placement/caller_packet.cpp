#include <Placement/caller_packet.h>

#include <Base/hashing.h>

size_t std::hash<bilberryyard::flow_endpoints>::operator()(
    bilberryyard::flow_endpoints const& flowEndpoints) const noexcept
{
    auto const mix = [](bilberryyard::ip_endpoint const& endpoint, uint64_t seed) {
        return bilberryyard::hashBytes(endpoint.address.bytes, seed ^ endpoint.port);
    };
    return mix(flowEndpoints.service, mix(flowEndpoints.caller, 0));
}

namespace bilberryyard {

char const* nameOf(packet_purpose purpose)
{
    switch (purpose) {
    case packet_purpose::Open:
        return "open";
    case packet_purpose::Continue:
        return "continue";
    case packet_purpose::Finish:
        return "finish";
    case packet_purpose::Abort:
        return "abort";
    }
    return "unknown";
}

} // namespace bilberryyard
