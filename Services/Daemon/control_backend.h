#pragma once

#include "control_worker.h"
#include <OperatorInterface/configuration_backend.h>

namespace bilberryyard {

/// Gives HTTP threads access to the control thread.
class control_backend {
public:
    /// @param worker Must outlive this object.
    explicit control_backend(control_worker& worker)
        : m_worker(worker)
    {
    }

    absl::StatusOr<command_result> propose(configuration_command const& command);
    absl::StatusOr<configuration_reading> read();
    absl::StatusOr<audit_page> audit(audit_query const& query);
    absl::StatusOr<std::vector<host_status>> status();
    absl::StatusOr<std::vector<control_member>> members();
    absl::Status changeMembers(member_change const& change);

private:
    control_worker& m_worker;
};

static_assert(configuration_backend<control_backend>);

} // namespace bilberryyard
