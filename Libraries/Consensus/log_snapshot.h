#pragma once

#include <Consensus/cluster_configuration.h>
#include <string>

namespace bilberryyard {

/// The state machine's state after an entry, which replaces the log up to that entry. The founding
/// configuration of a cluster is a snapshot at index 0.
struct log_snapshot {
    log_index index = 0;
    term_number term = 0;
    /// Configuration in effect at `index`.
    cluster_configuration configuration;
    /// State of the state machine; opaque to the decision logic.
    std::string data;
    auto operator<=>(log_snapshot const&) const = default;
};

} // namespace bilberryyard
