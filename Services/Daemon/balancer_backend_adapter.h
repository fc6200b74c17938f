#pragma once

#include "coordination_worker.h"
#include "packet_worker.h"
#include <OperatorInterface/balancer_api.h>

namespace bilberryyard {

/// Gives HTTP threads access to the coordination and packet threads.
class balancer_backend_adapter {
public:
    /// @param coordination Must outlive this object.
    /// @param packets Must outlive this object.
    balancer_backend_adapter(coordination_worker& coordination, packet_worker& packets)
        : m_coordination(coordination)
        , m_packets(packets)
    {
    }

    absl::StatusOr<std::vector<document_member>> explain(flow_key const& flow);
    absl::Status registerServer(server_registration const& registration);
    std::vector<server_row> servers();

private:
    coordination_worker& m_coordination;
    packet_worker& m_packets;
};

static_assert(balancer_backend<balancer_backend_adapter>);

} // namespace bilberryyard
