#include <Placement/caller_packet.h>

#include <Base/hashing.h>

size_t std::hash<bilberryyard::flow_endpoints>::operator()(bilberryyard::flow_endpoints const& ends) const noexcept
{
    auto const mix = [](bilberryyard::ip_endpoint const& endpoint, uint64_t seed) {
        return bilberryyard::hashBytes(endpoint.address.bytes, seed ^ endpoint.port);
    };
    return mix(ends.service, mix(ends.caller, 0));
}
