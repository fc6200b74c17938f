#pragma once

#include <Routing/routing_view.h>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Finds the service of a destination address, port and protocol.
class endpoint_index {
public:
    /// @param endpoints All endpoints. Of two that differ only in the service, the first one is used.
    void setEndpoints(std::vector<service_endpoint> const& endpoints);

    /// @return Position in the list of endpoints of the one that matches the destination of a flow, if any.
    std::optional<size_t> findPosition(flow_key const& key) const
    {
        auto const requested = slotFor(key.destination, key.destinationPort, key.protocol);
        for (auto index = requested.firstIndex(m_slots.size()); m_slots[index].position != freeSlot;
             index = (index + 1) & (m_slots.size() - 1)) {
            if (m_slots[index].matches(requested))
                return m_slots[index].position;
        }
        return std::nullopt;
    }

    /// @return The service of the endpoint that matches the destination of a flow, if any.
    std::optional<service_id> find(flow_key const& key) const
    {
        auto const position = findPosition(key);
        return position ? std::optional(m_endpoints[*position].service) : std::nullopt;
    }

private:
    static constexpr uint32_t freeSlot = UINT32_MAX;

    /// An endpoint in a form that is fast to compare, as every packet is looked up.
    struct slot {
        uint64_t addressHigh = 0;
        uint64_t addressLow = 0;
        uint32_t portAndProtocol = 0;
        uint32_t position = freeSlot;

        bool matches(slot const& other) const
        {
            return addressLow == other.addressLow && addressHigh == other.addressHigh
                && portAndProtocol == other.portAndProtocol;
        }
        size_t firstIndex(size_t slotCount) const
        {
            auto const mixed
                = (addressHigh * 0x9E3779B97F4A7C15ULL) ^ ((addressLow + portAndProtocol) * 0xC2B2AE3D27D4EB4FULL);
            return static_cast<size_t>(mixed ^ mixed >> 32) & (slotCount - 1);
        }
    };

    static slot slotFor(ip_address const& address, uint16_t port, ip_protocol protocol)
    {
        slot result;
        std::memcpy(&result.addressHigh, address.bytes.data(), sizeof(result.addressHigh));
        std::memcpy(&result.addressLow, address.bytes.data() + sizeof(result.addressHigh), sizeof(result.addressLow));
        result.portAndProtocol = uint32_t { port } << 8 | static_cast<uint32_t>(protocol);
        return result;
    }

    std::vector<service_endpoint> m_endpoints;
    /// Open addressing with a power-of-two size, at most half full.
    std::vector<slot> m_slots = std::vector<slot>(2);
};

} // namespace bilberryyard
