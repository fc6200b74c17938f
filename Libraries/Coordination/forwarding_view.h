#pragma once

#include <Packet/ip_endpoint.h>
#include <Routing/routing_view.h>
#include <map>
#include <memory>

namespace bilberryyard {

/// What the packet thread needs: the routing view and the endpoints of the servers.
struct forwarding_view {
    std::shared_ptr<routing_view const> routing;
    /// Endpoint for encapsulated packets by server identifier, aliases included.
    std::map<server_id, ip_endpoint> servers;
};

} // namespace bilberryyard
