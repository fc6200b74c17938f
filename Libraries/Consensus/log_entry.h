#pragma once

#include <Consensus/member_identity.h>
#include <string>

namespace bilberryyard {

enum class entry_kind : uint8_t {
    /// Payload is a command for the state machine.
    Application = 1,
    /// Payload is an encoded cluster_configuration.
    Configuration = 2,
    /// Appended by a new leader, because committing it also commits the entries of earlier terms; no payload.
    Barrier = 3,
};

/// One entry of the replicated log.
struct log_entry {
    term_number term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::Application;
    std::string payload;
    auto operator<=>(log_entry const&) const = default;
};

} // namespace bilberryyard
