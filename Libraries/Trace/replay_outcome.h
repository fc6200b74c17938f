#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

/// Requests of one kind.
struct kind_outcome {
    uint64_t offered = 0;
    uint64_t completed = 0;
    duration totalTime {};
    auto operator<=>(kind_outcome const&) const = default;
};

/// Open flows of a service over its serving servers at one time.
struct imbalance_sample {
    duration time {};
    std::string service;
    /// Maximum over mean.
    double value = 0;
    double mean = 0;
    auto operator<=>(imbalance_sample const&) const = default;
};

/// A host put a configuration revision into force.
struct revision_sample {
    duration time {};
    host_id host;
    uint64_t revision = 0;
    auto operator<=>(revision_sample const&) const = default;
};

/// What a replay found.
struct replay_outcome {
    uint64_t flows = 0;
    uint64_t established = 0;
    /// Established flows that ended before their last answer although their server lived.
    uint64_t brokenFlows = 0;
    /// Established flows that ended because their server was killed.
    uint64_t lostWithServer = 0;
    /// Flows that no server accepted before the caller gave up.
    uint64_t unanswered = 0;
    uint64_t refusals = 0;
    /// Refusals of flows of which a server had executed a request, before or afterwards.
    uint64_t untrueRefusals = 0;
    uint64_t wrongServicePackets = 0;
    /// Requests that more than one server executed.
    uint64_t executedTwice = 0;
    uint64_t answers = 0;
    /// Answers with another flow's or another request's content, or incomplete at the end of the trace.
    uint64_t wrongAnswers = 0;
    uint64_t incompleteAnswers = 0;
    /// New flows at a draining server later than 3 s after its announcement.
    uint64_t lateFlowsAtDraining = 0;
    /// Planned stops that broke a request or did not end by themselves.
    uint64_t unfinishedStops = 0;
    uint64_t relays = 0;
    uint64_t droppedPackets = 0;
    uint64_t controlBytes = 0;
    std::map<std::string, kind_outcome> kinds;
    std::vector<imbalance_sample> imbalance;
    std::vector<revision_sample> revisions;
    /// Times that a host's revision went back.
    uint64_t revisionReversals = 0;
    uint64_t changesAccepted = 0;
    uint64_t changesRefused = 0;
    /// Changes that an operator got no answer to before the end.
    uint64_t changesUnanswered = 0;
    /// Answers to a resend that differ from the first answer.
    uint64_t wrongChangeAnswers = 0;
    /// Accepted changes that the replicated state does not have at the end, and those applied more than once.
    uint64_t changesLost = 0;
    uint64_t changesRepeated = 0;
    uint64_t staleReads = 0;
    /// Longest time from the acceptance of a change until it was in force on every running host.
    duration slowestChange {};
    /// Longest time without a leader after the first one.
    duration longestWithoutLeader {};
    /// Inputs that the recorder could not take.
    uint64_t droppedInputs = 0;
    uint64_t refusedInputs = 0;

    /// @param from Imbalance counts from this time on.
    /// @return Every outcome by its name in the files of stated outcomes.
    std::map<std::string, double> metrics(duration from) const;
    auto operator<=>(replay_outcome const&) const = default;
};

} // namespace bilberryyard
