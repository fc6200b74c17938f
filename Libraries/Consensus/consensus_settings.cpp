#include <Consensus/consensus_settings.h>

#include <Base/error_kind.h>

namespace bilberryyard {

consensus_settings consensus_settings::forDeployment()
{
    consensus_settings settings;
    settings.electionTimeoutMinimum = std::chrono::milliseconds(700);
    settings.electionTimeoutMaximum = std::chrono::milliseconds(1100);
    settings.lease = std::chrono::milliseconds(560);
    return settings;
}

absl::Status consensus_settings::validate() const
{
    auto const invalid = [](char const* message) { return makeError(error_kind::InvalidArgument, message); };
    if (heartbeatInterval <= duration::zero())
        return invalid("heartbeatInterval must be positive");
    if (lease < 2 * heartbeatInterval)
        return invalid("lease must be at least two heartbeat intervals");
    // Followers grant no vote for electionTimeoutMinimum. With this margin, the lease expires first even if the rates
    // of two clocks differ by 10%.
    if (lease * 10 > electionTimeoutMinimum * 9)
        return invalid("lease must be at most 90% of electionTimeoutMinimum");
    if (electionTimeoutMaximum <= electionTimeoutMinimum)
        return invalid("electionTimeoutMaximum must exceed electionTimeoutMinimum");
    if (maximumAppendBytes == 0 || maximumInflightAppends == 0 || snapshotChunkBytes == 0 || maximumPayloadBytes == 0)
        return invalid("message bounds must be positive");
    if (maximumPendingProposals == 0 || snapshotInterval == 0)
        return invalid("maximumPendingProposals and snapshotInterval must be positive");
    return absl::OkStatus();
}

} // namespace bilberryyard
