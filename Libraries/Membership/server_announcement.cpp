#include <Membership/server_announcement.h>

#include <Base/error_kind.h>

namespace bilberryyard {

absl::Status validateAnnouncement(server_announcement const& announcement)
{
    if (announcement.key.port == 0)
        return makeError(error_kind::InvalidArgument, "port must not be 0");
    if (announcement.key.address == ip_address {})
        return makeError(error_kind::InvalidArgument, "address must not be the unspecified address");
    if (announcement.slots == 0)
        return makeError(error_kind::InvalidArgument, "slots must be at least 1");
    if (announcement.state > server_state::Draining)
        return makeError(error_kind::InvalidArgument, "state must be starting, serving or draining");
    return absl::OkStatus();
}

} // namespace bilberryyard
