#pragma once

#include <Base/identifiers.h>
#include <Configuration/setting_key.h>
#include <Packet/flow_key.h>
#include <compare>
#include <string>
#include <vector>

namespace bilberryyard {

/// A service that callers reach at its addresses with one port and one protocol.
struct service_definition {
    std::string name;
    /// 0 until the state machine assigns an identifier; identifiers are never reused.
    service_id id;
    /// IPv4 and IPv6 addresses, in the order in which the file lists them.
    std::vector<ip_address> addresses;
    uint16_t port = 0;
    ip_protocol protocol = ip_protocol::Tcp;
    /// Settings that differ from the defaults, in the order of allSettingKeys().
    std::vector<setting_entry> overrides;
    auto operator<=>(service_definition const&) const = default;
};

} // namespace bilberryyard
